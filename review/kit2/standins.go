package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order of events.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file}, err
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// instance is an entry of the list of endpoints.
type instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// agent is a stand-in for discovery's agent and the platform's receiver of notices.
type agent struct {
	rec      *record
	listener net.Listener

	mu         sync.Mutex
	generation int64
	rows       map[string]instance // the list, without removed endpoints
	order      []string
	changedAt  map[string]int64 // generation of the last change of an endpoint
	removed    map[string]instance
	changed    chan struct{} // closed at a change of the list
	delay      time.Duration // of each answer with a list
	lists      int           // answers with a list that were written
}

func newAgent(rec *record, generation int64, rows []instance) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{rec: rec, listener: listener, generation: generation, rows: map[string]instance{}, changedAt: map[string]int64{},
		removed: map[string]instance{}, changed: make(chan struct{})}
	for _, row := range rows {
		a.rows[row.ID] = row
		a.order = append(a.order, row.ID)
	}
	go (&http.Server{Handler: a}).Serve(listener)
	return a, nil
}

func (a *agent) addr() string { return a.listener.Addr().String() }

// known returns the whole list.
func (a *agent) known() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := list{Generation: a.generation, Reset: true, Instances: []instance{}}
	for _, id := range a.order {
		if row, ok := a.rows[id]; ok {
			l.Instances = append(l.Instances, row)
		}
	}
	return l
}

// set adds or changes an endpoint; with the lifecycle removed it takes it off the list.
func (a *agent) set(row instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
	if _, ok := a.rows[row.ID]; !ok {
		a.order = append(a.order, row.ID)
	}
	if row.Lifecycle == "removed" {
		delete(a.rows, row.ID)
		a.removed[row.ID] = row
	} else {
		a.rows[row.ID] = row
	}
	a.changedAt[row.ID] = a.generation
	close(a.changed)
	a.changed = make(chan struct{})
	a.rec.add("discovery: generation %d, %s of cell %d at %s is %s", a.generation, row.ID, row.Cell, row.HostPort, row.Lifecycle)
}

func (a *agent) setDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
	a.rec.add("discovery: answers %v late from now on", delay)
}

// changesSince returns the changes after a generation. The caller holds a.mu.
func (a *agent) changesSince(generation int64) list {
	l := list{Generation: a.generation, Instances: []instance{}}
	for id, at := range a.changedAt {
		if at <= generation {
			continue
		}
		if row, ok := a.rows[id]; ok {
			l.Instances = append(l.Instances, row)
		} else {
			l.Instances = append(l.Instances, a.removed[id])
		}
	}
	return l
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/outcomes":
		a.receiveNotices(w, r)
	case "/discovery/hosts":
		a.answerList(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (a *agent) receiveNotices(w http.ResponseWriter, r *http.Request) {
	scanner := bufio.NewScanner(r.Body)
	for scanner.Scan() {
		var notice struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		if err := json.Unmarshal(scanner.Bytes(), &notice); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.rec.add("notice: %s %s", notice.ID, notice.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *agent) answerList(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	delay := a.delay
	a.mu.Unlock()
	l := a.known()
	if from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64); err == nil {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		holdEnd := time.After(time.Duration(hold) * time.Millisecond)
		for waiting := true; waiting; {
			a.mu.Lock()
			l = a.changesSince(from)
			changed := a.changed
			a.mu.Unlock()
			if l.Generation > from {
				break
			}
			select {
			case <-changed:
			case <-holdEnd:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	}
	a.mu.Lock()
	delay = max(delay, a.delay)
	a.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	body, _ := json.Marshal(l)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err == nil {
		a.mu.Lock()
		a.lists++
		a.mu.Unlock()
	}
}

// endpointCall is a call as an endpoint received it.
type endpointCall struct {
	id          string
	firstByteAt time.Time
	lastByteAt  time.Time
	body        string
	answeredAt  time.Time // when the first line of a 200 was written; zero if it was not
}

// endpoint is a stand-in for an endpoint of a destination.
type endpoint struct {
	rec      *record
	name     string
	quiet    bool // its calls are counted and not recorded one by one
	listener net.Listener
	answer   func(call *endpointCall) (status string, headers string, wait time.Duration) // an empty status: no answer

	mu    sync.Mutex
	calls []*endpointCall
	conns map[net.Conn]bool
}

func healthy(wait time.Duration) func(*endpointCall) (string, string, time.Duration) {
	return func(*endpointCall) (string, string, time.Duration) { return "200 OK", "", wait }
}

func newEndpoint(rec *record, name, addr string) (*endpoint, error) {
	var listener net.Listener
	var err error
	for range 50 { // an address that is used again may take a moment to be free
		if listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	e := &endpoint{rec: rec, name: name, listener: listener, answer: healthy(20 * time.Millisecond), conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

func (e *endpoint) addr() string { return e.listener.Addr().String() }

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// close ends the endpoint: its connections are closed and new ones are refused.
func (e *endpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close()
	}
}

func (e *endpoint) setAnswer(answer func(*endpointCall) (string, string, time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

func (e *endpoint) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		call := &endpointCall{firstByteAt: time.Now()}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call.id, call.body, call.lastByteAt = request.Header.Get("X-Trace-Id"), string(body), time.Now()
		e.mu.Lock()
		e.calls = append(e.calls, call)
		status, headers, wait := e.answer(call)
		e.mu.Unlock()
		e.note("%s: call %s, X-Expires-In-Ms %s", e.name, call.id, request.Header.Get("X-Expires-In-Ms"))
		if status == "" { // until the sender gives up
			conn.SetReadDeadline(time.Time{})
			reader.Peek(1)
			return
		}
		time.Sleep(wait)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, headers); err != nil {
			return
		}
		if strings.HasPrefix(status, "200") {
			e.mu.Lock()
			call.answeredAt = time.Now()
			e.mu.Unlock()
		}
		e.note("%s: answered %s with %s", e.name, call.id, status)
	}
}

func (e *endpoint) note(format string, args ...any) {
	if !e.quiet {
		e.rec.add(format, args...)
	}
}

func (e *endpoint) snapshot() []endpointCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []endpointCall
	for _, call := range e.calls {
		out = append(out, *call)
	}
	return out
}

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func encodeCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

const noKey = "0000000000000000"

func encodePut(id, class string, d time.Duration, dest int, body string) string {
	return encodeCommand("MSG.PUT", noKey, id, fmt.Sprintf("c=%s,d=%d,dest=%d", class, d.Milliseconds(), dest), body)
}

const clientWait = 400 * time.Millisecond // a client waits so long for an answer

var errNoAnswer = errors.New("no answer")

// call sends a command and returns the answer.
func (c *client) call(command string) (string, error) {
	if _, err := io.WriteString(c.conn, command); err != nil {
		return "", err
	}
	c.conn.SetReadDeadline(time.Now().Add(clientWait))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return strings.TrimSpace(line), nil
}

// put hands in one message over a connection of its own.
func put(rec *record, addr, id, class string, d time.Duration, dest int, body string) string {
	c, err := dialClient(addr)
	if err != nil {
		rec.add("client: %s not handed in: %v", id, err)
		return ""
	}
	defer c.conn.Close()
	answer, err := c.call(encodePut(id, class, d, dest, body))
	if err != nil {
		rec.add("client: %s no answer: %v", id, err)
		return ""
	}
	rec.add("client: %s (%s, cell %d, d=%d) answered %s", id, class, dest, d.Milliseconds(), answer)
	return answer
}
