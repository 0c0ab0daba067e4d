package logic

// The tables of destinations and endpoints as rows, one for each of them, so that a large state can be
// transferred in bounded memory. A row holds its fields in a fixed order and ends with the last one that
// differs from its default value, which is that in a new destination or endpoint. What follows the known
// fields is skipped, so that a later version may add some.

import (
	"encoding/binary"
	"errors"
	"iter"
	"math"
	"math/bits"
)

// errInvalidRow says that a row cannot be read.
var errInvalidRow = errors.New("invalid row in the transferred state")

const (
	rowDestination = 'd'
	rowEndpoint    = 'e' // comes after the row of its destination
)

// rowCodec writes or reads the fields of a row. Each method writes the value that its argument points to,
// or stores the value that it reads there. A field that is not in the row keeps its value.
type rowCodec struct {
	row        []byte // decoding: what has not been read yet
	decoding   bool
	invalid    bool   // decoding: the row cannot be read
	keepLength int    // encoding: length up to the last field that differs from its default value
	now        Micros // points in time are written relative to this
}

// field writes or reads one field. At the end of a row, fields with their default value are left out.
func (c *rowCodec) field(value, defaultValue uint64) uint64 {
	if !c.decoding {
		c.row = binary.AppendUvarint(c.row, value)
		if value != defaultValue {
			c.keepLength = len(c.row)
		}
		return value
	}
	if len(c.row) == 0 {
		return value
	}
	v, n := binary.Uvarint(c.row)
	if n <= 0 {
		c.invalid, c.row = true, nil
		return value
	}
	c.row = c.row[n:]
	return v
}

// zigzagEncode maps signed integers to unsigned ones so that values near 0 stay small.
func zigzagEncode(x int64) uint64 { return uint64(x<<1) ^ uint64(x>>63) }

// zigzagDecode is the inverse of zigzagEncode.
func zigzagDecode(x uint64) int64 { return int64(x>>1) ^ -int64(x&1) }

// integerField writes or reads an integer; its default value is 0.
func integerField[T ~int | ~int32 | ~int64 | ~uint32 | ~uint16 | ~uint8](c *rowCodec, x *T) {
	*x = T(zigzagDecode(c.field(zigzagEncode(int64(*x)), 0)))
}

// timestamp writes or reads a point in time; its default value is distantPast or 0.
func (c *rowCodec) timestamp(x *Micros, defaultValue Micros) {
	c.timestampField(x, c.encodeTime(defaultValue))
}

// encodeTime returns the code of a point in time: 0 for distantPast, 1 for 0, and from 2 on for its
// distance from now.
func (c *rowCodec) encodeTime(t Micros) uint64 {
	switch t {
	case distantPast:
		return 0
	case 0:
		return 1
	}
	return 2 + zigzagEncode(int64(min(max(t-c.now, -1<<61), 1<<61)))
}

// timestampField is timestamp with the default value as a code of encodeTime.
func (c *rowCodec) timestampField(x *Micros, defaultValue uint64) {
	switch v := c.field(c.encodeTime(*x), defaultValue); v {
	case 0:
		*x = distantPast
	case 1:
		*x = 0
	default:
		*x = c.now + Micros(zigzagDecode(v-2))
	}
}

// float writes or reads a floating-point number. Its bytes are reversed, since the last ones are mostly 0
// and this makes the varint short.
func (c *rowCodec) float(x *float64) {
	v := c.field(bits.ReverseBytes64(math.Float64bits(*x)), 0)
	*x = math.Float64frombits(bits.ReverseBytes64(v))
}

// flags writes or reads booleans as one field, one bit each; by default all are false.
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

// count writes or reads the number of fields that follow. A row whose number exceeds the bytes left is
// invalid.
func (c *rowCodec) count(n int) int {
	n = int(c.field(uint64(n), 0))
	if c.decoding && (n < 0 || n > len(c.row)) {
		c.invalid = true
		return 0
	}
	return n
}

// timestamps writes or reads a list of points in time, after their number.
func (c *rowCodec) timestamps(xs *[]Micros) {
	n := c.count(len(*xs))
	if c.decoding && n > 0 {
		*xs = make([]Micros, n)
	}
	for i := range *xs {
		c.timestampField(&(*xs)[i], math.MaxUint64) // no value is the default, so that each is in the row
	}
}

// histogram writes or reads the fields of a histogram.
func (c *rowCodec) histogram(h *histogram) {
	b := h.bins
	if b == nil {
		b = &binWeights{}
	}
	integerField(c, &b.low)
	n := c.count(len(b.weights))
	if c.decoding && (b.low < 0 || b.low+n > binEdgeCount+1) {
		c.invalid, n = true, 0
	}
	if c.decoding && n > 0 {
		b.weights = make([]float64, n)
		h.bins = b
	}
	for i := range b.weights {
		c.float(&b.weights[i])
	}
	c.float(&h.answeredWeight)
	c.float(&h.cutOffWeight)
	c.timestamp(&h.updatedAt, 0)
	if c.decoding && h.answeredWeight >= minSamples { // the percentiles are used before the next sample
		h.recompute()
	}
}

// limiter writes or reads the fields of a limiter.
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
	c.timestamp(&l.paceReducedAt, 0)
	c.timestamp(&l.waitUntil, 0)
	c.timestamp(&l.firstRejectedAt, 0)
}

// destination writes or reads the fields of a destination.
func (c *rowCodec) destination(d *destination) {
	integerField(c, &d.kind)
	integerField(c, &d.nextEndpoint)
	c.timestamp(&d.lastUsedAt, 0)
	integerField(c, &d.arrivals)
	c.timestamp(&d.lastOutageAt, 0)
	c.limiter(d.limiter)
	c.histogram(&d.histogram)
	c.limiterHealth(d.limiter)
}

// limiterHealth writes or reads the fields of a limiter that came later and stand at the end of the row.
func (c *rowCodec) limiterHealth(l *limiter) {
	c.timestamp(&l.lastSuccessAt, distantPast)
	c.timestamp(&l.lastFailureAt, distantPast)
}

// endpoint writes or reads the fields of an endpoint, with those of its own limiter if it has one.
func (c *rowCodec) endpoint(e *endpoint) {
	integerField(c, &e.zone)
	integerField(c, &e.state)
	c.timestamp(&e.lastSentAt, distantPast)
	c.timestamp(&e.lastSuccessAt, distantPast)
	c.timestamp(&e.lastHealthyAt, distantPast)
	c.timestamp(&e.idleConnUntil, 0)
	c.float(&e.smoothedLatency)
	c.timestamps(&e.sentTimes)
	c.flags(&e.ejected, &e.recovering, &e.suspected)
	c.timestamp(&e.lastFailureAt, distantPast)
	c.float(&e.failureRate)
	integerField(c, &e.consecutiveFailures)
	integerField(c, &e.consecutiveRejections)
	c.timestamp(&e.returnedAt, 0)
	c.timestamp(&e.nextTrialAt, 0)
	c.timestamp(&e.trialInterval, 0)
	if own := e.limiter != e.destination.limiter; c.field(boolToUint(own), 0) == 1 {
		if c.decoding {
			e.limiter = unknownLimiter()
		}
		c.limiter(e.limiter)
		c.limiterHealth(e.limiter)
	}
	c.timestamp(&e.lastAnsweredSentAt, distantPast)
}

// boolToUint returns 1 for true and 0 for false.
func boolToUint(x bool) uint64 {
	if x {
		return 1
	}
	return 0
}

// TableRows yields the destinations and endpoints, row by row. Listed endpoints follow their
// destination, in list order; removed ones come at the end. The bytes of a row are valid until the next
// one.
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

// decodeRow adds the destination or endpoint of a row. Rows of an unknown kind are skipped.
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
		d := &destination{id: id, limiter: unknownLimiter()}
		if s.destinations[id] != nil {
			return errInvalidRow
		}
		if c.destination(d); d.nextEndpoint < 0 {
			return errInvalidRow
		}
		s.destinations[id] = d
		s.destinationOrder = append(s.destinationOrder, d)
	case rowEndpoint:
		d := s.destinationFor(id) // a removed endpoint may outlive its destination
		endpointID, n := binary.Uvarint(c.row)
		if n <= 0 || s.endpoints[EndpointID(endpointID)] != nil {
			return errInvalidRow
		}
		c.row = c.row[n:]
		e := newEndpoint(EndpointID(endpointID), d)
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

// SaveWithoutTables returns the state without what TableRows yields. Both together are what Save returns.
func (s *Sender) SaveWithoutTables() Saved {
	saved := s.save(false)
	saved.Sizes = []int{len(s.destinations), len(s.endpoints)}
	return saved
}

// ResumeFromRows is Resume for a state from SaveWithoutTables and TableRows.
func ResumeFromRows(settings Settings, seed uint64, saved Saved,
	rows iter.Seq2[[]byte, error]) (*Sender, error) {
	s, err := New(settings, seed)
	if err != nil {
		return nil, err
	}
	s.now = saved.Now
	if len(saved.Sizes) == 2 {
		sizeHint := func(n int) int { return min(max(n, 0), 1<<20) }
		s.destinations = make(map[int64]*destination, sizeHint(saved.Sizes[0]))
		s.destinationOrder = make([]*destination, 0, sizeHint(saved.Sizes[0]))
		s.endpoints = make(map[EndpointID]*endpoint, sizeHint(saved.Sizes[1]))
	}
	for row, err := range rows {
		if err != nil {
			return nil, err
		}
		if err := s.decodeRow(row); err != nil {
			return nil, err
		}
	}
	s.resumeWithoutTables(saved)
	return s, nil
}
