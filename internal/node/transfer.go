package node

// The state transfer: what a process hands over to its successor, and the formats of it.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"iter"
	"math"
	"slices"

	"crossdeal/internal/clock"
	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// stateTransfer is what a process hands over to its successor, apart from the descriptors. These are the lock, the
// listener, and then one for each of Calls, Idle and Clients, in this order. The names of the fields are part of the
// format.
type stateTransfer struct {
	At         int64         // Unix time in microseconds when it was made ...
	Clock      logic.Micros  // ... and the clock of the decision logic at that time
	Anchor     *clock.Anchor `json:",omitempty"` // the same point, by the machine's clock; in the row format
	Module     logic.Saved   // state of the decision logic; without its tables in the row format
	Discovery  string        // base URL of the discovery that Generation belongs to
	Generation int64
	IDs        map[string]logic.EndpointID         `json:",omitempty"` // in the text format
	Targets    map[logic.EndpointID]transferTarget `json:",omitempty"`
	Names      int                                 `json:",omitempty"` // in the row format: the number of name rows
	Recent     map[string]int64                    // ids of ended messages, with deadlines in Unix microseconds
	Held       []transferHeld
	Calls      []transferCall
	Idle       []transferIdle
	Clients    []transferClient

	bytesSent int // size of what was sent, for the log
}

type transferTarget struct {
	Addr       string
	Zone, Kind int
	Dest       int64
	Lifecycle  string  `json:",omitempty"` // as in discovery.Target; empty from an earlier version
	Weight     float64 `json:",omitempty"`
}

type transferHeld struct {
	ID       string
	Tries    int   // attempts made
	Over     bool  // ended, with its attempt still in flight
	Deadline int64 // Unix time in microseconds; needed for an ended message, which the journal may not have
}

type transferCall struct {
	ID       string
	Attempt  int
	Endpoint logic.EndpointID
	At, By   int64  // Unix time in microseconds of its start and of its timeout
	Got      []byte // the part of the response that was received
}

type transferIdle struct {
	Endpoint logic.EndpointID
	Since    int64 // Unix time in microseconds since which the connection is idle
}

type transferClient struct {
	Since  int64 // Unix time in microseconds of the connection's start or of the last answer on it
	Proven bool  // at least one request on it has been answered
}

// nameRow is the row of an endpoint: its name, id and target.
type nameRow struct {
	name   string
	id     logic.EndpointID
	target discovery.Target
}

const nameRowTag = 'n' // first byte of a name row; the decision logic's rows begin with other letters

func (x *nameRow) appendTo(b []byte) []byte {
	b = append(b, nameRowTag)
	b = append(binary.AppendUvarint(b, uint64(len(x.name))), x.name...)
	b = binary.AppendUvarint(b, uint64(x.id))
	b = append(binary.AppendUvarint(b, uint64(len(x.target.Address))), x.target.Address...)
	b = binary.AppendVarint(b, int64(x.target.ZoneIndex))
	b = binary.AppendVarint(b, int64(x.target.KindIndex))
	b = binary.AppendVarint(b, x.target.Destination)
	b = append(binary.AppendUvarint(b, uint64(len(x.target.Lifecycle))), x.target.Lifecycle...)
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(x.target.Weight))
}

// parseNameRow parses what appendTo writes. It ignores bytes after the fields, which later versions may add. Rows of
// earlier versions end with the destination.
func parseNameRow(row []byte) (x nameRow, err error) {
	b, invalid := row[1:], false
	readUvarint := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			invalid, n = true, 0
		}
		b = b[n:]
		return v
	}
	readVarint := func() int64 { v := readUvarint(); return int64(v>>1) ^ -int64(v&1) }
	readString := func() string {
		n := readUvarint()
		if n > uint64(len(b)) {
			invalid, n = true, 0
		}
		s := string(b[:n])
		b = b[n:]
		return s
	}
	x.name, x.id = readString(), logic.EndpointID(readUvarint())
	x.target = discovery.Target{Address: readString(), ZoneIndex: int(readVarint()), KindIndex: int(readVarint()), Destination: readVarint()}
	if len(b) > 0 {
		x.target.Lifecycle = readString()
		if invalid = invalid || len(b) < 8; !invalid {
			x.target.Weight = math.Float64frombits(binary.LittleEndian.Uint64(b))
		}
	}
	if invalid {
		err = errors.New("malformed name row")
	}
	return x, err
}

// nameCount returns the number of endpoint names that have an id.
func (n *Node) nameCount() (count int) {
	for range n.directory.Names() {
		count++
	}
	return count
}

// writeRows writes the tables: for each row its length as an unsigned varint and the row, and a length of 0 at the end.
// A write error shows when out is flushed.
func (n *Node) writeRows(out *bufio.Writer) {
	var length, buf []byte
	write := func(row []byte) bool {
		length = binary.AppendUvarint(length[:0], uint64(len(row)))
		out.Write(length)
		_, err := out.Write(row)
		return err == nil
	}
	for row := range n.sender.TableRows() {
		if !write(row) {
			return
		}
	}
	for name, id := range n.directory.Names() {
		x := nameRow{name: name, id: id}
		x.target, _ = n.directory.Target(id)
		buf = x.appendTo(buf[:0])
		if !write(buf) {
			return
		}
	}
	out.WriteByte(0)
}

// readRows yields the rows of the decision logic, and collects the name rows in t.names.
func (t *takeover) readRows(r io.Reader) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		in := bufio.NewReaderSize(r, 1<<16)
		t.names = make([]nameRow, 0, min(max(t.Names, 0), 1<<20))
		var row []byte
		for {
			size, err := binary.ReadUvarint(in)
			if err == nil && size > maxRowBytes {
				err = fmt.Errorf("row of %d bytes exceeds the limit", size)
			}
			if err != nil {
				yield(nil, err)
				return
			}
			if size == 0 {
				return
			}
			row = slices.Grow(row[:0], int(size))[:size]
			if _, err := io.ReadFull(in, row); err != nil {
				yield(nil, err)
				return
			}
			if row[0] == nameRowTag {
				named, err := parseNameRow(row)
				if err != nil {
					yield(nil, err)
					return
				}
				t.names = append(t.names, named)
			} else if !yield(row, nil) {
				return
			}
		}
	}
}
