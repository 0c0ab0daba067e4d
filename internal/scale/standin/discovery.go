// Package standin stands for what a sender talks with, where a scale test needs its bytes: discovery with any number
// of entries, the platform that takes notices, endpoints, and a network in memory that can be cut. It speaks the
// published protocol and keeps to the clock of package time, so that it also runs under a virtual one.
package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Row is one entry of the list.
type Row struct {
	ID, HostPort, Zone, MachineType string
	Destination                     int64
	Lifecycle                       string
	Weight                          float64
}

// appendJSON writes the row in the published form.
func (r *Row) appendJSON(b []byte) []byte {
	b = append(b, `{"instanceId":`...)
	b = strconv.AppendQuote(b, r.ID)
	b = append(b, `,"hostPort":`...)
	b = strconv.AppendQuote(b, r.HostPort)
	b = append(b, `,"zone":`...)
	b = strconv.AppendQuote(b, r.Zone)
	b = append(b, `,"machineType":`...)
	b = strconv.AppendQuote(b, r.MachineType)
	b = append(b, `,"cell":`...)
	b = strconv.AppendInt(b, r.Destination, 10)
	b = append(b, `,"lifecycle":`...)
	b = strconv.AppendQuote(b, r.Lifecycle)
	b = append(b, `,"weight":`...)
	b = strconv.AppendFloat(b, r.Weight, 'f', 1, 64)
	return append(b, `,"startedAtMs":0}`...)
}

// MakeRows is a list of so many destinations with so many endpoints each. The addresses are given out in turn; without
// any, each endpoint has one of its own.
func MakeRows(dests, each int, zones, kinds, addrs []string) []Row {
	rows := make([]Row, 0, dests*each)
	for i := range dests * each {
		addr := ""
		if len(addrs) > 0 {
			addr = addrs[i%len(addrs)]
		} else {
			addr = fmt.Sprintf("10.%d.%d.%d:6379", i>>16, i>>8&255, i&255)
		}
		rows = append(rows, Row{ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), HostPort: addr, Zone: zones[i%len(zones)],
			MachineType: kinds[i%len(kinds)], Destination: int64(i / each), Lifecycle: "up", Weight: 100})
	}
	return rows
}

// Config is how a stand-in of discovery behaves.
type Config struct {
	Rows        []Row
	Generation  int64                  // of the first list; 1 if 0
	KeptChanges int                    // changes that are kept: who asks from before them gets the whole list; 10,000 if 0
	Machines    int                    // that share the senders; 1 if 0
	Bandwidth   float64                // of each, in bytes a second; 0 for no limit
	OnNotice    func(id, state string) // hears of each message that ended by a notice; may be nil
}

// Discovery is a stand-in of discovery, and of the platform that takes notices.
type Discovery struct {
	cfg   Config
	start time.Time
	links []link // one a machine

	mu                   sync.Mutex
	rows                 []Row
	indexByID            map[string]int // id to place in rows
	generation           int64
	changeLog            []int         // places in rows, in the order of their changes; the last one made generation gen
	changed              chan struct{} // closed when the list changes
	watchesStalled       chan struct{} // closed when all open watches fall silent
	cachedList           []byte        // the list as text, shared by all answers
	cachedListGeneration int64         // and its generation
	olderList            []byte        // a list of version 0, which is sent as an older one
	faults               []Fault
	conns                map[net.Conn]bool
	senderCount          int // machine of the next sender
	machineBySender      map[string]int
	traffic              trafficCounters
	closed               bool

	done    chan struct{} // closed by Close
	running sync.WaitGroup
}

// link is what a machine can send at most.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// New makes a stand-in. Its time begins now.
func New(cfg Config) *Discovery {
	if cfg.Generation == 0 {
		cfg.Generation = 1
	}
	if cfg.KeptChanges == 0 {
		cfg.KeptChanges = 10_000
	}
	cfg.Machines = max(cfg.Machines, 1)
	d := &Discovery{cfg: cfg, start: time.Now(), links: make([]link, cfg.Machines), rows: cfg.Rows, generation: cfg.Generation,
		indexByID: make(map[string]int, len(cfg.Rows)), changed: make(chan struct{}), watchesStalled: make(chan struct{}), done: make(chan struct{}),
		conns: map[net.Conn]bool{}, machineBySender: map[string]int{}, traffic: newTrafficCounters()}
	for i := range d.rows {
		d.indexByID[d.rows[i].ID] = i
	}
	return d
}

// Set changes entries, or adds them: each is a version of its own. It returns the newest one.
func (d *Discovery) Set(rows ...Row) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rows {
		i, ok := d.indexByID[r.ID]
		if !ok {
			i = len(d.rows)
			d.rows = append(d.rows, Row{})
			d.indexByID[r.ID] = i
		}
		d.rows[i] = r
		d.generation++
		d.changeLog = append(d.changeLog, i)
	}
	if over := len(d.changeLog) - 2*d.cfg.KeptChanges; over > 0 {
		d.changeLog = append([]int(nil), d.changeLog[len(d.changeLog)-d.cfg.KeptChanges:]...)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.generation
}

// Row is the entry at a place of the list.
func (d *Discovery) Row(i int) Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows[i]
}

// Generation is the version of the list.
func (d *Discovery) Generation() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// ListSize is that of the whole list in bytes.
func (d *Discovery) ListSize() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.encodedListLocked())
}

// encodedListLocked is the whole list. It is written once for each version that is asked for.
func (d *Discovery) encodedListLocked() []byte {
	if d.cachedListGeneration == d.generation {
		return d.cachedList
	}
	b := make([]byte, 0, len(d.cachedList)+1<<16)
	b = appendListHead(b, d.generation, true)
	sep := false
	for i := range d.rows {
		if d.rows[i].Lifecycle == "removed" {
			continue
		}
		if sep {
			b = append(b, ',')
		}
		sep = true
		b = d.rows[i].appendJSON(b)
	}
	d.cachedList, d.cachedListGeneration = append(b, "]}"...), d.generation
	if d.olderList == nil {
		d.olderList = appendListHead(nil, 0, true)
		for i := range min(len(d.rows), 10) {
			if i > 0 {
				d.olderList = append(d.olderList, ',')
			}
			d.olderList = d.rows[i].appendJSON(d.olderList)
		}
		d.olderList = append(d.olderList, "]}"...)
	}
	return d.cachedList
}

func appendListHead(b []byte, gen int64, whole bool) []byte {
	b = append(b, `{"generation":`...)
	b = strconv.AppendInt(b, gen, 10)
	b = append(b, `,"reset":`...)
	b = strconv.AppendBool(b, whole)
	return append(b, `,"instances":[`...)
}

// listSince is the text for a call that knows a version, and whether there is news for it.
func (d *Discovery) listSince(from int64, knows bool) (text []byte, whole, news bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !knows || from > d.generation || d.generation-from > int64(min(len(d.changeLog), d.cfg.KeptChanges)) {
		return d.encodedListLocked(), true, true
	}
	b := appendListHead(nil, d.generation, false)
	told := map[int]bool{}
	for _, i := range d.changeLog[len(d.changeLog)-int(d.generation-from):] {
		if !told[i] {
			if len(told) > 0 {
				b = append(b, ',')
			}
			told[i] = true
			b = d.rows[i].appendJSON(b)
		}
	}
	return append(b, "]}"...), false, d.generation > from
}

// StallWatches lets all watches that are open now fall silent.
func (d *Discovery) StallWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesStalled)
	d.watchesStalled = make(chan struct{})
}

// Serve answers calls until the listener or the stand-in is closed. The sender is the one that calls there; if empty,
// each peer's host is one.
func (d *Discovery) Serve(ln net.Listener, sender string) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		name := sender
		if name == "" {
			name, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
		}
		d.mu.Lock()
		closed := d.closed
		if !closed {
			d.conns[conn] = true
			d.running.Add(1)
		}
		if _, ok := d.machineBySender[name]; !ok {
			d.machineBySender[name] = d.senderCount % d.cfg.Machines
			d.senderCount++
		}
		d.mu.Unlock()
		if closed {
			resetConn(conn)
			continue
		}
		go func() {
			defer d.running.Done()
			d.serveConn(&senderConn{Conn: conn, discovery: d, sender: name})
		}()
	}
}

// Close ends all connections and waits until nothing is served any more. Listeners are their owner's to close, before.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	close(d.done)
	conns := d.conns
	d.conns = map[net.Conn]bool{}
	d.mu.Unlock()
	for c := range conns {
		c.Close()
	}
	d.running.Wait()
}

// ResetConnections resets all connections.
func (d *Discovery) ResetConnections() {
	d.mu.Lock()
	conns := d.conns
	d.conns = map[net.Conn]bool{}
	d.mu.Unlock()
	for c := range conns {
		resetConn(c)
	}
}

func (d *Discovery) removeConn(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
}

// resetConn closes a connection in a way that its peer sees as a break, where the network has one.
func resetConn(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	conn.Close()
}

// senderConn is a sender's connection; it counts what goes over it.
type senderConn struct {
	net.Conn
	discovery *Discovery
	sender    string
}

func (p *senderConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.discovery.countTraffic(p.sender, func(c *Traffic) { c.BytesIn += int64(n) })
	return n, err
}

func (p *senderConn) Write(b []byte) (int, error) {
	n, err := p.Conn.Write(b)
	p.discovery.countTraffic(p.sender, func(c *Traffic) { c.BytesOut += int64(n) })
	return n, err
}

// writeChunkBytes is how much is written at once, and how much a machine sends before it turns to another sender.
const writeChunkBytes = 64 << 10

// writePaced writes at the machine's pace.
func (p *senderConn) writePaced(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), writeChunkBytes)
		p.waitForBandwidth(n)
		if _, err := p.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (p *senderConn) waitForBandwidth(n int) {
	if p.discovery.cfg.Bandwidth <= 0 {
		return
	}
	p.discovery.mu.Lock()
	l := &p.discovery.links[p.discovery.machineBySender[p.sender]]
	p.discovery.mu.Unlock()
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / p.discovery.cfg.Bandwidth * float64(time.Second)))
	free := l.freeAt
	l.mu.Unlock()
	// Whoever is due in the same moment goes on side by side, also where time stands still meanwhile.
	time.Sleep(free.Truncate(pacingInterval).Add(pacingInterval).Sub(now))
}

const pacingInterval = 2 * time.Millisecond

var errUnresponsive = errors.New("silent from now on")

func (d *Discovery) serveConn(p *senderConn) {
	defer d.removeConn(p.Conn)
	if d.currentFaultKind() == Refuse {
		resetConn(p.Conn)
		return
	}
	r := bufio.NewReaderSize(p, 1<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			p.Close()
			return
		}
		switch {
		case req.URL.Path == "/v1/outcomes" && req.Method == http.MethodPost:
			err = d.handleOutcomes(p, req)
		case req.URL.Path == "/discovery/hosts" && req.Method == http.MethodGet:
			err = d.handleHosts(p, req)
		default:
			err = p.writeResponse("404 Not Found", "", nil)
		}
		if errors.Is(err, errUnresponsive) {
			io.Copy(io.Discard, r) // until the sender has had enough
		}
		if err != nil {
			resetConn(p.Conn)
			return
		}
	}
}

// writeResponse writes a whole answer.
func (p *senderConn) writeResponse(status, kind string, body []byte) error {
	h := fmt.Appendf(make([]byte, 0, 128+min(len(body), 4096)), "HTTP/1.1 %s\r\nContent-Length: %d\r\n", status, len(body))
	if kind != "" {
		h = fmt.Appendf(h, "Content-Type: %s\r\n", kind)
	}
	h = append(h, "\r\n"...)
	if len(body) <= 4096 { // in one write
		return p.writePaced(append(h, body...))
	}
	if err := p.writePaced(h); err != nil {
		return err
	}
	return p.writePaced(body)
}

// handleOutcomes takes notices. It does so also while discovery is down.
func (d *Discovery) handleOutcomes(p *senderConn, req *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	if err != nil {
		return err
	}
	d.countTraffic(p.sender, func(c *Traffic) { c.Notices++ })
	if len(body) == 0 {
		return p.writeResponse("400 Bad Request", "", nil)
	}
	if err := d.reportNotices(body); err != nil {
		return p.writeResponse("400 Bad Request", "", nil)
	}
	_, err = io.WriteString(p, "HTTP/1.1 204 No Content\r\n\r\n")
	return err
}

// reportNotices passes notices on, a JSON object a line.
func (d *Discovery) reportNotices(body []byte) error {
	if d.cfg.OnNotice == nil {
		return nil
	}
	for dec := json.NewDecoder(bytes.NewReader(body)); dec.More(); {
		var notice struct{ ID, State string }
		if err := dec.Decode(&notice); err != nil {
			return err
		}
		d.cfg.OnNotice(notice.ID, notice.State)
	}
	return nil
}

// handleHosts answers a call for the list, in its time.
func (d *Discovery) handleHosts(p *senderConn, req *http.Request) error {
	q := req.URL.Query()
	from, bad := strconv.ParseInt(q.Get("from"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("hold_ms"), 10, 64)
	d.countTraffic(p.sender, func(c *Traffic) { c.Calls++ })
	if done, err := d.applyFault(p, false); done || err != nil {
		return err
	}
	hold := time.NewTimer(time.Duration(min(max(ms, 0), 60_000)) * time.Millisecond)
	defer hold.Stop()
	d.mu.Lock()
	lost := d.watchesStalled
	d.mu.Unlock()
	for over := false; ; {
		d.mu.Lock()
		next := d.changed
		d.mu.Unlock()
		text, whole, news := d.listSince(from, bad == nil)
		if news || over {
			if done, err := d.applyFault(p, true); done || err != nil { // a trouble that began meanwhile
				return err
			}
			d.countTraffic(p.sender, func(c *Traffic) {
				if whole {
					c.WholeLists++
				}
			})
			return p.writeResponse("200 OK", "application/json", text)
		}
		select {
		case <-next:
		case <-lost:
			return errUnresponsive
		case <-d.done:
			return io.ErrClosedPipe
		case <-hold.C:
			over = true
		}
	}
}
