package standin

import (
	"strconv"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Count is what discovery has seen. Bytes are those of HTTP, without the frames of TCP and IP.
type Count struct {
	In, Out int64 // bytes
	Calls   int64 // for the list
	Whole   int64 // answers with the whole list
	Notices int64 // calls with notices
}

// Bytes are those of both ways.
func (c Count) Bytes() int64 { return c.In + c.Out }

func (c *Count) add(x Count) {
	c.In += x.In
	c.Out += x.Out
	c.Calls += x.Calls
	c.Whole += x.Whole
	c.Notices += x.Notices
}

type counts struct {
	since    time.Time
	bySender map[string]*Count
	bySecond map[int64]*Count // seconds after since
}

func newCounts() counts {
	return counts{since: time.Now(), bySender: map[string]*Count{}, bySecond: map[int64]*Count{}}
}

func (d *Discovery) tally(sender string, f func(*Count)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.count.bySender[sender]
	if c == nil {
		c = &Count{}
		d.count.bySender[sender] = c
	}
	f(c)
	second := int64(time.Since(d.count.since) / time.Second)
	if c = d.count.bySecond[second]; c == nil {
		c = &Count{}
		d.count.bySecond[second] = c
	}
	f(c)
}

// Seen is what has been counted since the last Reset.
type Seen struct {
	Span       time.Duration
	Fleet      Count            // all senders together
	Worst      Count            // the most of each in any one second
	FirstSec   Count            // all senders in the first second ...
	FirstMin   Count            // ... and in the first minute
	BySender   map[string]Count // each of them
	MostSender Count            // the most of each at any one sender
}

// Seen reads the counters.
func (d *Discovery) Seen() Seen {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Seen{Span: time.Since(d.count.since), BySender: map[string]Count{}}
	for name, c := range d.count.bySender {
		s.BySender[name] = *c
		s.Fleet.add(*c)
		s.MostSender.most(*c)
	}
	for second, c := range d.count.bySecond {
		s.Worst.most(*c)
		if second == 0 {
			s.FirstSec = *c
		}
		if second < 60 {
			s.FirstMin.add(*c)
		}
	}
	return s
}

func (c *Count) most(x Count) {
	c.In, c.Out = max(c.In, x.In), max(c.Out, x.Out)
	c.Calls, c.Whole, c.Notices = max(c.Calls, x.Calls), max(c.Whole, x.Whole), max(c.Notices, x.Notices)
}

// ResetCounts begins to count anew.
func (d *Discovery) ResetCounts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count = newCounts()
}
