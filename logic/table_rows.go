package logic

import (
	"encoding/binary"
	"errors"
	"iter"
	"math"
	"math/bits"
)

// The tables of a Sender as rows, one for each destination and endpoint, for a state transfer in bounded memory. A
// row ends with its last field that differs from what a new destination or endpoint has; what follows the fields that
// are known here is skipped, so that a later version may add some.

// errInvalidRow says that a row cannot be read.
var errInvalidRow = errors.New("a row of the state that makes no sense")

const (
	rowDestination = 'd'
	rowEndpoint    = 'e' // follows its destination's
)

// rowCodec writes or reads the fields of a row: each method takes a field's value from where its argument points, or
// puts it there. A field that is not in the row stays as it is.
type rowCodec struct {
	row        []byte
	decoding   bool
	invalid    bool
	keepLength int    // length of the row up to the last field that tells something
	now        Micros // times are told against this
}

// field is one of them; usual is what it is in a new destination or endpoint.
func (c *rowCodec) field(x, usual uint64) uint64 {
	if !c.decoding {
		c.row = binary.AppendUvarint(c.row, x)
		if x != usual {
			c.keepLength = len(c.row)
		}
		return x
	}
	if len(c.row) == 0 {
		return x
	}
	v, n := binary.Uvarint(c.row)
	if n <= 0 {
		c.invalid, c.row = true, nil
		return x
	}
	c.row = c.row[n:]
	return v
}

func zigzagEncode(x int64) uint64 { return uint64(x<<1) ^ uint64(x>>63) }
func zigzagDecode(x uint64) int64 { return int64(x>>1) ^ -int64(x&1) }

// integerField is a field that is a whole number.
func integerField[T ~int | ~int32 | ~int64 | ~uint32 | ~uint16 | ~uint8](c *rowCodec, x *T) {
	*x = T(zigzagDecode(c.field(zigzagEncode(int64(*x)), 0)))
}

// timestamp is a field that is a time; in a new endpoint it is longAgo or nought.
func (c *rowCodec) timestamp(x *Micros, usual Micros) {
	c.timestampField(x, c.encodeTime(usual))
}

func (c *rowCodec) encodeTime(t Micros) uint64 {
	switch t {
	case distantPast:
		return 0
	case 0:
		return 1
	}
	return 2 + zigzagEncode(int64(min(max(t-c.now, -1<<61), 1<<61)))
}

func (c *rowCodec) timestampField(x *Micros, usual uint64) {
	switch v := c.field(c.encodeTime(*x), usual); v {
	case 0:
		*x = distantPast
	case 1:
		*x = 0
	default:
		*x = c.now + Micros(zigzagDecode(v-2))
	}
}

// float is a field with a fraction. Its bits are turned around, since those at the end are mostly nought.
func (c *rowCodec) float(x *float64) {
	v := c.field(bits.ReverseBytes64(math.Float64bits(*x)), 0)
	*x = math.Float64frombits(bits.ReverseBytes64(v))
}

func (c *rowCodec) flags(xs ...*bool) {
	v := uint64(0)
	for i, x := range xs {
		if *x {
			v |= 1 << i
		}
	}
	v = c.field(v, 0)
	for i, x := range xs {
		*x = v>>i&1 == 1
	}
}

// count is the length of what follows; more than the row can hold makes no sense.
func (c *rowCodec) count(n int) int {
	n = int(c.field(uint64(n), 0))
	if c.decoding && (n < 0 || n > len(c.row)) {
		c.invalid = true
		return 0
	}
	return n
}

func (c *rowCodec) timestamps(xs *[]Micros) {
	n := c.count(len(*xs))
	if c.decoding && n > 0 {
		*xs = make([]Micros, n)
	}
	for i := range *xs {
		c.timestampField(&(*xs)[i], math.MaxUint64) // none is usual: each is in the row
	}
}

func (c *rowCodec) histogram(h *histogram) {
	b := h.bins
	if b == nil {
		b = &binWeights{}
	}
	integerField(c, &b.low)
	n := c.count(len(b.weights))
	if c.decoding && (b.low < 0 || b.low+n > binCount+1) {
		c.invalid, n = true, 0
	}
	if c.decoding && n > 0 {
		b.weights = make([]float64, n)
		h.bins = b
	}
	for i := range b.weights {
		c.float(&b.weights[i])
	}
	c.float(&h.total)
	c.float(&h.cutOffs)
	c.timestamp(&h.updatedAt, 0)
	if c.decoding && h.total >= minSamples { // what is read of it before the next sample
		h.recompute()
	}
}

func (c *rowCodec) limiter(l *limiter) {
	c.float(&l.limit)
	c.float(&l.limitLeft)
	c.float(&l.tokens)
	c.timestamp(&l.refilledAt, 0)
	c.float(&l.peakRate)
	c.float(&l.phase)
	c.timestamps(&l.sentTimes)
	c.flags(&l.limitReported)
	integerField(c, &l.consecutiveRejections)
	c.float(&l.pace)
	c.timestamp(&l.halvedAt, 0)
	c.timestamp(&l.waitUntil, 0)
	c.timestamp(&l.firstRejectedAt, 0)
}

func (c *rowCodec) destination(d *destination) {
	integerField(c, &d.kind)
	integerField(c, &d.nextEndpoint)
	c.timestamp(&d.lastUsedAt, 0)
	integerField(c, &d.arrivals)
	c.timestamp(&d.lastOutageAt, 0)
	c.limiter(d.limiter)
	c.histogram(&d.histogram)
}

func (c *rowCodec) endpoint(e *endpoint) {
	integerField(c, &e.zone)
	integerField(c, &e.state)
	c.timestamp(&e.lastSentAt, distantPast)
	c.timestamp(&e.lastSuccessAt, distantPast)
	c.timestamp(&e.lastHealthyAt, distantPast)
	c.timestamp(&e.idleConnUntil, 0)
	c.float(&e.smoothedLatency)
	c.timestamps(&e.sentTimes)
	c.flags(&e.ejected, &e.recovering)
	c.timestamp(&e.lastFailureAt, distantPast)
	c.float(&e.failureRate)
	integerField(c, &e.consecutiveFailures)
	integerField(c, &e.consecutiveRejections)
	c.timestamp(&e.returnedAt, 0)
	c.timestamp(&e.nextTrialAt, 0)
	c.timestamp(&e.trialInterval, 0)
	if own := e.limiter != e.destination.limiter; c.field(boolToUint(own), 0) == 1 {
		if c.decoding {
			e.limiter = &limiter{}
		}
		c.limiter(e.limiter)
	}
}

func boolToUint(x bool) uint64 {
	if x {
		return 1
	}
	return 0
}

// TableRows yields the tables of destinations and endpoints, row by row. A row is good until the next.
func (s *Sender) TableRows() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		c := &rowCodec{now: s.now}
		begin := func(kind byte, id int64) {
			c.row = binary.AppendVarint(append(c.row[:0], kind), id)
			c.keepLength = len(c.row)
		}
		endpoint := func(e *endpoint) bool {
			begin(rowEndpoint, e.destination.id)
			c.row = binary.AppendUvarint(c.row, uint64(e.id))
			c.keepLength = len(c.row)
			c.endpoint(e)
			return yield(c.row[:c.keepLength])
		}
		for _, d := range s.destinationOrder {
			begin(rowDestination, d.id)
			c.destination(d)
			if !yield(c.row[:c.keepLength]) {
				return
			}
			for _, e := range d.endpoints {
				if !endpoint(e) {
					return
				}
			}
		}
		for _, e := range s.endpoints {
			if e.state == Removed && !endpoint(e) {
				return
			}
		}
	}
}

// decodeRow puts a row into the tables. Rows of a kind that is not known are skipped.
func (s *Sender) decodeRow(row []byte) error {
	if len(row) == 0 {
		return errInvalidRow
	}
	c := &rowCodec{decoding: true, now: s.now}
	id, n := binary.Varint(row[1:])
	if n <= 0 {
		return errInvalidRow
	}
	c.row = row[1+n:]
	switch row[0] {
	case rowDestination:
		d := &destination{id: id, limiter: &limiter{}}
		if s.destinations[id] != nil {
			return errInvalidRow
		}
		if c.destination(d); d.nextEndpoint < 0 {
			return errInvalidRow
		}
		s.destinations[id] = d
		s.destinationOrder = append(s.destinationOrder, d)
	case rowEndpoint:
		d := s.destinationFor(id) // one that is gone may have outlived its destination
		ep, n := binary.Uvarint(c.row)
		if n <= 0 || s.endpoints[EndpointID(ep)] != nil {
			return errInvalidRow
		}
		c.row = c.row[n:]
		e := newEndpoint(EndpointID(ep), d)
		c.endpoint(e)
		if e.state > Removed {
			return errInvalidRow
		}
		d.hadOutage = d.hadOutage || e.recovering || e.ejected
		s.endpoints[e.id] = e
		if e.state != Removed {
			d.endpoints = append(d.endpoints, e)
		}
	}
	if c.invalid {
		return errInvalidRow
	}
	return nil
}

// SaveWithoutTables returns what Rows does not yield. Together they are the state, as Save returns it.
func (s *Sender) SaveWithoutTables() Saved {
	x := s.save(false)
	x.Sizes = []int{len(s.destinations), len(s.endpoints)}
	return x
}

// ResumeFromRows is Resume for a state in rows.
func ResumeFromRows(set Settings, seed uint64, x Saved, rows iter.Seq2[[]byte, error]) (*Sender, error) {
	s, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	s.now = x.Now
	if len(x.Sizes) == 2 {
		room := func(n int) int { return min(max(n, 0), 1<<20) }
		s.destinations = make(map[int64]*destination, room(x.Sizes[0]))
		s.destinationOrder = make([]*destination, 0, room(x.Sizes[0]))
		s.endpoints = make(map[EndpointID]*endpoint, room(x.Sizes[1]))
	}
	for row, err := range rows {
		if err != nil {
			return nil, err
		}
		if err := s.decodeRow(row); err != nil {
			return nil, err
		}
	}
	s.resumeWithoutTables(x)
	return s, nil
}
