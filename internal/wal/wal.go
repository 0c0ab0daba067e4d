// Package wal frames the records of a write-ahead log: a file of records that is only ever appended to, and that
// is read up to the first record that is not whole.
//
// A record is the length of its body (4 bytes, little endian), the CRC-32 of the body (IEEE, 4 bytes, little
// endian) and the body, of at least one byte. A process that dies within a write leaves a torn record at the end,
// which the reader tells from a clean end.
package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// HeaderLen is what a record takes beyond its body, in bytes.
const HeaderLen = 8

const readBufferBytes = 1 << 16

// ErrTorn says that the bytes after the last whole record are no record: too few of them, a length that can't be,
// or a sum that does not fit.
var ErrTorn = errors.New("record is not whole")

// Append appends the record with that body to b. The body must not be empty: the reader takes an empty record for a
// torn one, as a file can end in zeros.
func Append(b, body []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	return append(b, body...)
}

// Reader reads the records of a log one after the other.
type Reader struct {
	input        *bufio.Reader
	maxBodyBytes int
	body         []byte
	offset       int64
	err          error
}

// NewReader reads from r. A length over most bytes counts as torn; the reader holds one body of up to that size.
func NewReader(r io.Reader, most int) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, readBufferBytes), maxBodyBytes: most}
}

// Next returns the body of the next record, which stands until the next call. The error is io.EOF after the last
// record of a log that ends cleanly, ErrTorn (wrapped, with the offset) where it does not, and otherwise what reading
// ended with. After an error Next returns the same one again.
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
	var head [HeaderLen]byte
	if _, err := io.ReadFull(r.input, head[:]); err != nil {
		return r.tornError(err)
	}
	n := binary.LittleEndian.Uint32(head[:4])
	if n == 0 || int64(n) > int64(r.maxBodyBytes) {
		return fmt.Errorf("%w: at %d, length %d", ErrTorn, r.offset, n)
	}
	if cap(r.body) < int(n) {
		r.body = make([]byte, n)
	}
	r.body = r.body[:n]
	if _, err := io.ReadFull(r.input, r.body); errors.Is(err, io.EOF) {
		return r.tornError(io.ErrUnexpectedEOF)
	} else if err != nil {
		return r.tornError(err)
	}
	if crc32.ChecksumIEEE(r.body) != binary.LittleEndian.Uint32(head[4:]) {
		return fmt.Errorf("%w: at %d, wrong sum", ErrTorn, r.offset)
	}
	return nil
}

// tornError tells a record that is cut short from an error of reading.
func (r *Reader) tornError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: at %d, cut short", ErrTorn, r.offset)
	}
	return err
}

// Offset is how many bytes the records returned so far take in the log.
func (r *Reader) Offset() int64 { return r.offset }
