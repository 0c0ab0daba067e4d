// Package standin simulates the peers of a sender for tests that measure traffic: discovery with any number of entries,
// the platform that receives notices, endpoints, and a network in memory that can be partitioned. It speaks the
// published protocol and uses the clock of package time, so that it also runs under a virtual clock.
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

// Row is one entry of the list of endpoints.
type Row struct {
	ID, HostPort, Zone, MachineType string
	Destination                     int64
	Lifecycle                       string
	Weight                          float64
}

// appendJSON appends the row in the form of the published protocol.
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

// MakeRows returns a list of destinations with endpointsEach endpoints each. Zones, machine types and addresses are
// assigned in turn; without addresses, each endpoint gets one of its own.
func MakeRows(destinations, endpointsEach int, zones, machineTypes, addrs []string) []Row {
	rows := make([]Row, 0, destinations*endpointsEach)
	for i := range destinations * endpointsEach {
		addr := ""
		if len(addrs) > 0 {
			addr = addrs[i%len(addrs)]
		} else {
			addr = fmt.Sprintf("10.%d.%d.%d:6379", i>>16, i>>8&255, i&255)
		}
		rows = append(rows, Row{ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), HostPort: addr, Zone: zones[i%len(zones)],
			MachineType: machineTypes[i%len(machineTypes)], Destination: int64(i / endpointsEach), Lifecycle: "up", Weight: 100})
	}
	return rows
}

// Config configures a stand-in of discovery.
type Config struct {
	Rows        []Row
	Generation  int64                  // of the first list; 0 means 1
	KeptChanges int                    // changes kept; a request from before them gets the whole list; 0 means 10,000
	Machines    int                    // machines that serve the list; the senders are assigned to them in turn; 0 means 1
	Bandwidth   float64                // of each machine, in bytes a second; 0 means no limit
	OnNotice    func(id, state string) // called for each ended message that a notice names; may be nil
	NoticeFault func() NoticeFault     // called for each post of notices; nil for none
	ExtraBytes  *ExtraBytes            // sends more than good answers to short lists and notices; nil for none
}

// NoticeFault is how a post of notices fails. The notices of a post that fails count as not received.
type NoticeFault int

// The faults of a post.
const (
	NoticeReceived   NoticeFault = iota // no fault
	NoticeReset                         // the connection is reset before the post is read
	NoticeUnanswered                    // the post is read and gets no answer
)

// Discovery is a stand-in of discovery and of the platform that receives notices.
type Discovery struct {
	cfg   Config
	start time.Time
	links []link // one for each machine

	mu                   sync.Mutex
	rows                 []Row
	indexByID            map[string]int // ID to index in rows
	generation           int64
	changeLog            []int         // indexes in rows, in the order of the changes; the last one belongs to generation
	changed              chan struct{} // closed when the list changes
	watchesStalled       chan struct{} // closed when all open watches become unresponsive
	cachedList           []byte        // the encoded list, shared by all answers
	cachedListGeneration int64         // generation of cachedList
	olderList            []byte        // an encoded list of generation 0, for the fault OlderList
	faults               []Fault
	answerDelay          time.Duration // of each regular answer with a list
	conns                map[net.Conn]bool
	senderCount          int // senders seen so far, to assign machines in turn
	machineBySender      map[string]int
	traffic              trafficCounters
	closed               bool

	done    chan struct{} // closed by Close
	running sync.WaitGroup
}

// link paces what one machine sends.
type link struct {
	mu     sync.Mutex
	freeAt time.Time // when all that was handed to the link is sent
}

// New returns a stand-in. The times of its faults are measured from this call.
func New(cfg Config) *Discovery {
	if cfg.Generation == 0 {
		cfg.Generation = 1
	}
	if cfg.KeptChanges == 0 {
		cfg.KeptChanges = 10_000
	}
	cfg.Machines = max(cfg.Machines, 1)
	d := &Discovery{cfg: cfg, start: time.Now(), links: make([]link, cfg.Machines), rows: cfg.Rows,
		generation: cfg.Generation, indexByID: make(map[string]int, len(cfg.Rows)), changed: make(chan struct{}),
		watchesStalled: make(chan struct{}), done: make(chan struct{}), conns: map[net.Conn]bool{},
		machineBySender: map[string]int{}, traffic: newTrafficCounters()}
	for i := range d.rows {
		d.indexByID[d.rows[i].ID] = i
	}
	return d
}

// Set changes or adds entries. Each change makes a new generation; Set returns the newest one.
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
	if excess := len(d.changeLog) - 2*d.cfg.KeptChanges; excess > 0 {
		d.changeLog = append([]int(nil), d.changeLog[len(d.changeLog)-d.cfg.KeptChanges:]...)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.generation
}

// Row returns the entry at index i of the list.
func (d *Discovery) Row(i int) Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows[i]
}

// Generation returns the generation of the list.
func (d *Discovery) Generation() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// ListSize returns the size of the encoded whole list in bytes.
func (d *Discovery) ListSize() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.encodedListLocked())
}

// encodedListLocked returns the encoded whole list. It is encoded once for each generation that is asked for. The
// caller holds mu.
func (d *Discovery) encodedListLocked() []byte {
	if d.cachedListGeneration == d.generation {
		return d.cachedList
	}
	b := make([]byte, 0, len(d.cachedList)+1<<16)
	b = appendListHead(b, d.generation, true)
	needComma := false
	for i := range d.rows {
		if d.rows[i].Lifecycle == "removed" {
			continue
		}
		if needComma {
			b = append(b, ',')
		}
		needComma = true
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

// listSince returns the list for a request that knows generation from (or none): the changes since then, or the whole
// list if there is no such generation or its changes are not kept. changed reports whether the text holds anything new.
func (d *Discovery) listSince(from int64, known bool) (text []byte, whole, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !known || from > d.generation || d.generation-from > int64(min(len(d.changeLog), d.cfg.KeptChanges)) {
		return d.encodedListLocked(), true, true
	}
	b := appendListHead(nil, d.generation, false)
	written := map[int]bool{}
	for _, i := range d.changeLog[len(d.changeLog)-int(d.generation-from):] {
		if !written[i] {
			if len(written) > 0 {
				b = append(b, ',')
			}
			written[i] = true
			b = d.rows[i].appendJSON(b)
		}
	}
	return append(b, "]}"...), false, d.generation > from
}

// StallWatches makes all watches that are open at this moment unresponsive.
func (d *Discovery) StallWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesStalled)
	d.watchesStalled = make(chan struct{})
}

// Serve answers requests until the listener or the stand-in is closed. All requests at the listener are counted for the
// named sender; if the name is empty, for the host of each peer.
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

// Close ends all connections and waits until all handlers have returned. The caller closes the listeners first.
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

// ResetConnections resets all open connections.
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

// resetConn closes a connection so that its peer sees a reset, where the network has resets.
func resetConn(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	conn.Close()
}

// senderConn is a connection from a sender; it counts the bytes in both directions.
type senderConn struct {
	net.Conn
	discovery *Discovery
	sender    string
	requests  *bufio.Reader // what the sender sends
	dropNext  bool          // the next request is not carried out
}

func (sc *senderConn) Read(b []byte) (int, error) {
	n, err := sc.Conn.Read(b)
	sc.discovery.countTraffic(sc.sender, func(c *Traffic) { c.BytesIn += int64(n) })
	return n, err
}

func (sc *senderConn) Write(b []byte) (int, error) {
	n, err := sc.Conn.Write(b)
	sc.discovery.countTraffic(sc.sender, func(c *Traffic) { c.BytesOut += int64(n) })
	return n, err
}

// writeChunkBytes is the maximum size of a write, and how much a machine sends to one sender before it serves another.
const writeChunkBytes = 64 << 10

// writePaced writes at the bandwidth of the sender's machine.
func (sc *senderConn) writePaced(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), writeChunkBytes)
		sc.waitForBandwidth(n)
		if _, err := sc.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (sc *senderConn) waitForBandwidth(n int) {
	if sc.discovery.cfg.Bandwidth <= 0 {
		return
	}
	sc.discovery.mu.Lock()
	l := &sc.discovery.links[sc.discovery.machineBySender[sc.sender]]
	sc.discovery.mu.Unlock()
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / sc.discovery.cfg.Bandwidth * float64(time.Second)))
	freeAt := l.freeAt
	l.mu.Unlock()
	// Times are rounded up to the pacing interval, so that writes that are due together run concurrently, also under a
	// virtual clock, whose time stands still while they run.
	time.Sleep(freeAt.Truncate(pacingInterval).Add(pacingInterval).Sub(now))
}

const pacingInterval = 2 * time.Millisecond

var errUnresponsive = errors.New("connection stays open without an answer")

func (d *Discovery) serveConn(sc *senderConn) {
	defer d.removeConn(sc.Conn)
	if d.currentFaultKind() == Refuse {
		resetConn(sc.Conn)
		return
	}
	r := bufio.NewReaderSize(sc, 1<<10)
	sc.requests = r
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			sc.Close()
			return
		}
		if sc.dropNext {
			d.cfg.ExtraBytes.DropRequest()
			sc.Close()
			return
		}
		switch {
		case req.URL.Path == "/v1/outcomes" && req.Method == http.MethodPost:
			err = d.handleOutcomes(sc, req)
		case req.URL.Path == "/discovery/hosts" && req.Method == http.MethodGet:
			err = d.handleHosts(sc, req)
		default:
			err = sc.writeResponse("404 Not Found", "", nil)
		}
		if errors.Is(err, errUnresponsive) {
			io.Copy(io.Discard, r) // until the sender closes the connection
		}
		if err != nil {
			resetConn(sc.Conn)
			return
		}
	}
}

const (
	statusOK       = "200 OK"
	maxJoinedBytes = 4096 // size up to which a body is sent in one write with its head
)

// writeGoodAnswer writes a short answer and what may follow it.
func (sc *senderConn) writeGoodAnswer(answer []byte) (err error) {
	sc.waitForBandwidth(len(answer))
	sc.dropNext, err = sc.discovery.cfg.ExtraBytes.WriteAnswer(sc, sc.requests, answer)
	return err
}

// writeResponse writes an answer with its body.
func (sc *senderConn) writeResponse(status, contentType string, body []byte) error {
	header := fmt.Appendf(make([]byte, 0, 128+min(len(body), 4096)), "HTTP/1.1 %s\r\nContent-Length: %d\r\n",
		status, len(body))
	if contentType != "" {
		header = fmt.Appendf(header, "Content-Type: %s\r\n", contentType)
	}
	header = append(header, "\r\n"...)
	if len(body) <= maxJoinedBytes && status == statusOK {
		return sc.writeGoodAnswer(append(header, body...))
	}
	if len(body) <= maxJoinedBytes {
		return sc.writePaced(append(header, body...))
	}
	if err := sc.writePaced(header); err != nil {
		return err
	}
	return sc.writePaced(body)
}

// handleOutcomes receives notices, also while a fault of discovery is active.
func (d *Discovery) handleOutcomes(sc *senderConn, req *http.Request) error {
	if d.cfg.NoticeFault != nil {
		switch d.cfg.NoticeFault() {
		case NoticeReset:
			return errNoticeReset
		case NoticeUnanswered:
			return errUnresponsive
		}
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	if err != nil {
		return err
	}
	d.countTraffic(sc.sender, func(c *Traffic) { c.Notices++ })
	if len(body) == 0 {
		return sc.writeResponse("400 Bad Request", "", nil)
	}
	if err := d.reportNotices(body); err != nil {
		return sc.writeResponse("400 Bad Request", "", nil)
	}
	return sc.writeGoodAnswer([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
}

var errNoticeReset = errors.New("post of notices reset")

// reportNotices calls OnNotice for each notice of the body, which holds one JSON object a line.
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

// handleHosts answers a request for the list: at once if there are changes for it, else with the next change or at the
// end of its hold time.
func (d *Discovery) handleHosts(sc *senderConn, req *http.Request) error {
	query := req.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	holdMillis, _ := strconv.ParseInt(query.Get("hold_ms"), 10, 64)
	d.countTraffic(sc.sender, func(c *Traffic) { c.Calls++ })
	if done, err := d.applyFault(sc, false); done || err != nil {
		return err
	}
	hold := time.NewTimer(time.Duration(min(max(holdMillis, 0), 60_000)) * time.Millisecond)
	defer hold.Stop()
	d.mu.Lock()
	stalled := d.watchesStalled
	d.mu.Unlock()
	for holdExpired := false; ; {
		d.mu.Lock()
		listChanged := d.changed
		d.mu.Unlock()
		text, whole, changed := d.listSince(from, fromErr == nil)
		if changed || holdExpired {
			// A fault may have begun while the request was held, or delays the answer.
			if done, err := d.applyFault(sc, true); done || err != nil {
				return err
			}
			d.countTraffic(sc.sender, func(c *Traffic) {
				if whole {
					c.WholeLists++
				}
			})
			return sc.writeResponse(statusOK, "application/json", text)
		}
		select {
		case <-listChanged:
		case <-stalled:
			return errUnresponsive
		case <-d.done:
			return io.ErrClosedPipe
		case <-hold.C:
			holdExpired = true
		}
	}
}
