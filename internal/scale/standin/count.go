package standin

import (
	"strconv"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Traffic is what discovery has seen. Bytes are those of HTTP, without the frames of TCP and IP.
type Traffic struct {
	BytesIn, BytesOut int64 // bytes
	Calls             int64 // for the list
	WholeLists        int64 // answers with the whole list
	Notices           int64 // calls with notices
}

// Bytes are those of both ways.
func (c Traffic) Bytes() int64 { return c.BytesIn + c.BytesOut }

func (c *Traffic) add(x Traffic) {
	c.BytesIn += x.BytesIn
	c.BytesOut += x.BytesOut
	c.Calls += x.Calls
	c.WholeLists += x.WholeLists
	c.Notices += x.Notices
}

type trafficCounters struct {
	since    time.Time
	bySender map[string]*Traffic
	bySecond map[int64]*Traffic // seconds after since
}

func newTrafficCounters() trafficCounters {
	return trafficCounters{since: time.Now(), bySender: map[string]*Traffic{}, bySecond: map[int64]*Traffic{}}
}

func (d *Discovery) countTraffic(sender string, f func(*Traffic)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.traffic.bySender[sender]
	if c == nil {
		c = &Traffic{}
		d.traffic.bySender[sender] = c
	}
	f(c)
	second := int64(time.Since(d.traffic.since) / time.Second)
	if c = d.traffic.bySecond[second]; c == nil {
		c = &Traffic{}
		d.traffic.bySecond[second] = c
	}
	f(c)
}

// TrafficStats is what has been counted since the last Reset.
type TrafficStats struct {
	Elapsed     time.Duration
	Total       Traffic            // all senders together
	PeakSecond  Traffic            // the most of each in any one second
	FirstSecond Traffic            // all senders in the first second ...
	FirstMinute Traffic            // ... and in the first minute
	BySender    map[string]Traffic // each of them
	PeakSender  Traffic            // the most of each at any one sender
}

// Stats reads the counters.
func (d *Discovery) Stats() TrafficStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := TrafficStats{Elapsed: time.Since(d.traffic.since), BySender: map[string]Traffic{}}
	for name, c := range d.traffic.bySender {
		s.BySender[name] = *c
		s.Total.add(*c)
		s.PeakSender.setMax(*c)
	}
	for second, c := range d.traffic.bySecond {
		s.PeakSecond.setMax(*c)
		if second == 0 {
			s.FirstSecond = *c
		}
		if second < 60 {
			s.FirstMinute.add(*c)
		}
	}
	return s
}

func (c *Traffic) setMax(x Traffic) {
	c.BytesIn, c.BytesOut = max(c.BytesIn, x.BytesIn), max(c.BytesOut, x.BytesOut)
	c.Calls, c.WholeLists, c.Notices = max(c.Calls, x.Calls), max(c.WholeLists, x.WholeLists), max(c.Notices, x.Notices)
}

// ResetStats begins to count anew.
func (d *Discovery) ResetStats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic = newTrafficCounters()
}
