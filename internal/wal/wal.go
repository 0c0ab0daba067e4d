// Package wal reads and writes the records of a write-ahead log: a file to which records are only appended, and which
// is read up to the first record that is not whole.
//
// A record is the length of its body (4 bytes, little endian), the CRC-32 of the body (IEEE, 4 bytes, little endian)
// and the body, of at least one byte. A process that dies during a write leaves a torn record at the end, which the
// reader distinguishes from a clean end.
package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// HeaderLen is the number of bytes that a record has before its body.
const HeaderLen = 8

const readBufferBytes = 1 << 16

// ErrTorn means that the bytes after the last whole record are not a record: too few bytes, an invalid length or a
// wrong checksum.
var ErrTorn = errors.New("record is not whole")

// Append appends a record with the given body to b. The body must not be empty: the reader treats an empty record as
// torn, as a file can end in zeros.
func Append(b, body []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	return append(b, body...)
}

// Reader reads the records of a log in order.
type Reader struct {
	input        *bufio.Reader
	maxBodyBytes int
	body         []byte
	offset       int64
	err          error
}

// NewReader returns a reader of the log in r. A record whose body is longer than maxBodyBytes counts as torn. The
// reader keeps one body of up to that size in memory.
func NewReader(r io.Reader, maxBodyBytes int) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, readBufferBytes), maxBodyBytes: maxBodyBytes}
}

// Next returns the body of the next record, which is valid until the next call. The error is io.EOF after the last
// record of a log that ends cleanly, ErrTorn (wrapped, with the offset) if the log ends in a torn record, and otherwise
// the error of the read. After an error, Next returns the same error again.
func (r *Reader) Next() ([]byte, error) {
	if r.err == nil {
		r.err = r.readRecord()
	}
	if r.err != nil {
		return nil, r.err
	}
	r.offset += HeaderLen + int64(len(r.body))
	return r.body, nil
}

func (r *Reader) readRecord() error {
	var header [HeaderLen]byte
	if _, err := io.ReadFull(r.input, header[:]); err != nil {
		return r.tornError(err)
	}
	length := binary.LittleEndian.Uint32(header[:4])
	if length == 0 || int64(length) > int64(r.maxBodyBytes) {
		return fmt.Errorf("%w: at offset %d, length %d", ErrTorn, r.offset, length)
	}
	if cap(r.body) < int(length) {
		r.body = make([]byte, length)
	}
	r.body = r.body[:length]
	if _, err := io.ReadFull(r.input, r.body); errors.Is(err, io.EOF) {
		return r.tornError(io.ErrUnexpectedEOF)
	} else if err != nil {
		return r.tornError(err)
	}
	if crc32.ChecksumIEEE(r.body) != binary.LittleEndian.Uint32(header[4:]) {
		return fmt.Errorf("%w: at offset %d, wrong checksum", ErrTorn, r.offset)
	}
	return nil
}

// tornError returns ErrTorn, wrapped, if the log ends within a record, and otherwise the error of the read.
func (r *Reader) tornError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: at offset %d, truncated", ErrTorn, r.offset)
	}
	return err
}

// Offset returns how many bytes the records returned so far take in the log.
func (r *Reader) Offset() int64 { return r.offset }
