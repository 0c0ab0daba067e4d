package node

// What a process hands over to its successor, and its form.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"iter"
	"math"
	"slices"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// stateTransfer is what a process hands to its successor, beside descriptors: the lock, the listener, and then one for each
// of Calls, Idle and Clients, in order.
type stateTransfer struct {
	At         int64        // Unix microseconds when it was made ...
	Clock      logic.Micros // ... and the module's clock then
	Module     logic.Saved
	Discovery  string // address that Generation is of
	Generation int64
	IDs        map[string]logic.EndpointID         `json:",omitempty"` // where all is in one text
	Targets    map[logic.EndpointID]transferTarget `json:",omitempty"`
	Names      int                                 `json:",omitempty"` // where they come as rows: how many
	Recent     map[string]int64                    // ids that are over, with the ends of their time
	Held       []transferHeld
	Calls      []transferCall
	Idle       []transferIdle
	Clients    []transferClient

	bytesSent int // bytes sent of it
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
	Tries    int
	Over     bool  // only its attempt is still out
	Deadline int64 // of one that is over, which the journal may not have
}

type transferCall struct {
	ID       string
	Attempt  int
	Endpoint logic.EndpointID
	At, By   int64  // Unix microseconds of its start, and of its end if nothing comes
	Got      []byte // of its answer
}

type transferIdle struct {
	Endpoint logic.EndpointID
	Since    int64
}

type transferClient struct {
	Since  int64
	Proven bool
}

// nameRow is a name with its number and target, as a row.
type nameRow struct {
	name   string
	id     logic.EndpointID
	target discovery.Target
}

const nameRowTag = 'n' // the module's rows begin with other letters

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

// parseNameRow is the other way round. What follows the fields is a later version's; an earlier one's end with the
// destination.
func parseNameRow(row []byte) (x nameRow, err error) {
	b, bad := row[1:], false
	number := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			bad, n = true, 0
		}
		b = b[n:]
		return v
	}
	signed := func() int64 { v := number(); return int64(v>>1) ^ -int64(v&1) }
	text := func() string {
		n := number()
		if n > uint64(len(b)) {
			bad, n = true, 0
		}
		s := string(b[:n])
		b = b[n:]
		return s
	}
	x.name, x.id = text(), logic.EndpointID(number())
	x.target = discovery.Target{Address: text(), ZoneIndex: int(signed()), KindIndex: int(signed()), Destination: signed()}
	if len(b) > 0 {
		x.target.Lifecycle = text()
		if bad = bad || len(b) < 8; !bad {
			x.target.Weight = math.Float64frombits(binary.LittleEndian.Uint64(b))
		}
	}
	if bad {
		err = errors.New("a name that makes no sense")
	}
	return x, err
}

// nameCount counts those that have a number.
func (n *Node) nameCount() (count int) {
	for range n.directory.Names() {
		count++
	}
	return count
}

// writeRows writes the tables: the length of a row and the row, and nought at the end.
func (n *Node) writeRows(out *bufio.Writer) {
	var head, buf []byte
	write := func(row []byte) bool {
		head = binary.AppendUvarint(head[:0], uint64(len(row)))
		out.Write(head)
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

// readRows yields the rows that are the module's, and keeps the names.
func (l *takeover) readRows(from io.Reader) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		in := bufio.NewReaderSize(from, 1<<16)
		l.names = make([]nameRow, 0, min(max(l.Names, 0), 1<<20))
		var row []byte
		for {
			size, err := binary.ReadUvarint(in)
			if err == nil && size > maxRowBytes {
				err = fmt.Errorf("a row of %d bytes", size)
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
				x, err := parseNameRow(row)
				if err != nil {
					yield(nil, err)
					return
				}
				l.names = append(l.names, x)
			} else if !yield(row, nil) {
				return
			}
		}
	}
}
