package node

// The reader of RESP2 requests.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits of a request. A larger one is a protocol error.
const (
	maxArgs            = 16
	maxBulkBytes       = 64 << 10 // one argument, such as a body
	maxLengthLineBytes = 64       // the line that holds a length
	maxOverheadBytes   = 4 << 10  // all arguments together may exceed maxBulkBytes by this
)

// errProtocol is returned for bytes that are not a RESP2 request. The connection must be closed then, since the
// start of the next request is unknown.
var errProtocol = errors.New("protocol error")

// readCommand reads one request, an array of bulk strings. Each length is checked before memory is allocated for it.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := readLength(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fmt.Errorf("%w: empty request", errProtocol)
	}
	args := make([][]byte, n)
	remaining := maxBulkBytes + maxOverheadBytes // bounds the memory that one client can make this process hold
	for i := range args {
		size, err := readLength(r, '$', maxBulkBytes)
		if err != nil {
			return nil, toUnexpectedEOF(err)
		}
		if remaining -= size; remaining < 0 {
			return nil, fmt.Errorf("%w: request over %d bytes", errProtocol, maxBulkBytes+maxOverheadBytes)
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, toUnexpectedEOF(err)
		}
		if b[size] != '\r' || b[size+1] != '\n' {
			return nil, fmt.Errorf("%w: bulk string without its end", errProtocol)
		}
		args[i] = b[:size]
	}
	return args, nil
}

// readLength reads a line that holds a prefix and a decimal number, and checks the number against maxLength.
func readLength(r *bufio.Reader, prefix byte, maxLength int) (int, error) {
	var line []byte
	for {
		c, err := r.ReadByte()
		if err != nil {
			if len(line) > 0 {
				err = toUnexpectedEOF(err)
			}
			return 0, err
		}
		line = append(line, c)
		if c == '\n' {
			break
		}
		if len(line) >= maxLengthLineBytes {
			return 0, fmt.Errorf("%w: length line too long", errProtocol)
		}
	}
	if len(line) < 4 || line[0] != prefix || line[len(line)-2] != '\r' {
		return 0, fmt.Errorf("%w: want a line of %q and a length", errProtocol, prefix)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: bad length", errProtocol)
	}
	if n > uint64(maxLength) {
		return 0, fmt.Errorf("%w: length over %d", errProtocol, maxLength)
	}
	return int(n), nil
}

// toUnexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, for input that ends within a request.
func toUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
