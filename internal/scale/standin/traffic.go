package standin

import (
	"strconv"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Traffic counts what the stand-in has received and sent. Bytes are those of HTTP, without TCP and IP headers.
type Traffic struct {
	BytesIn, BytesOut int64 // received and sent by the stand-in
	Calls             int64 // requests for the list
	WholeLists        int64 // answers that hold the whole list
	Notices           int64 // requests that carry notices
}

// Bytes returns the bytes of both directions.
func (c Traffic) Bytes() int64 { return c.BytesIn + c.BytesOut }

func (c *Traffic) add(other Traffic) {
	c.BytesIn += other.BytesIn
	c.BytesOut += other.BytesOut
	c.Calls += other.Calls
	c.WholeLists += other.WholeLists
	c.Notices += other.Notices
}

type trafficCounters struct {
	since    time.Time
	bySender map[string]*Traffic
	bySecond map[int64]*Traffic // by whole seconds since the start
}

func newTrafficCounters() trafficCounters {
	return trafficCounters{since: time.Now(), bySender: map[string]*Traffic{}, bySecond: map[int64]*Traffic{}}
}

func (d *Discovery) countTraffic(sender string, update func(*Traffic)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	traffic := d.traffic.bySender[sender]
	if traffic == nil {
		traffic = &Traffic{}
		d.traffic.bySender[sender] = traffic
	}
	update(traffic)
	second := int64(time.Since(d.traffic.since) / time.Second)
	if traffic = d.traffic.bySecond[second]; traffic == nil {
		traffic = &Traffic{}
		d.traffic.bySecond[second] = traffic
	}
	update(traffic)
}

// TrafficStats holds the counters since the last [Discovery.ResetStats].
type TrafficStats struct {
	Elapsed     time.Duration
	Total       Traffic            // all senders together
	PeakSecond  Traffic            // the maximum of each counter over all seconds
	FirstSecond Traffic            // all senders together, in the first second
	FirstMinute Traffic            // all senders together, in the first minute
	BySender    map[string]Traffic // by sender name
	PeakSender  Traffic            // the maximum of each counter over all senders
}

// Stats returns the traffic since the last [Discovery.ResetStats].
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

// setMax raises each counter to that of other where other's is larger.
func (c *Traffic) setMax(other Traffic) {
	c.BytesIn, c.BytesOut = max(c.BytesIn, other.BytesIn), max(c.BytesOut, other.BytesOut)
	c.Calls, c.WholeLists, c.Notices = max(c.Calls, other.Calls),
		max(c.WholeLists, other.WholeLists), max(c.Notices, other.Notices)
}

// ResetStats sets all counters to zero and starts a new counting period.
func (d *Discovery) ResetStats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic = newTrafficCounters()
}
