package kit

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Notice is the notice of a message's end, as the platform received it.
type Notice struct {
	ID    string `json:"id"`
	State string `json:"state"`
	At    time.Time
}

// Agent is the agent of discovery on the sender's machine, which pushes the list, and the platform that gets notices.
type Agent struct {
	Addr   string
	record *Record

	mu         sync.Mutex
	generation int64
	rows       []map[string]any
	changed    chan struct{}
	notices    []Notice
}

// Row returns an entry of the list.
func Row(id, hostPort, kind string, destination int, weight float64) map[string]any {
	return map[string]any{"instanceId": id, "hostPort": hostPort, "zone": "a", "machineType": kind, "cell": destination,
		"lifecycle": "up", "weight": weight, "startedAtMs": 0}
}

// StartAgent serves a list. Its generation is 41.
func StartAgent(rows []map[string]any, record *Record) (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: ln.Addr().String(), record: record, generation: 41, rows: rows, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.serveList)
	mux.HandleFunc("POST /v1/outcomes", a.serveNotices)
	go http.Serve(ln, mux)
	return a, nil
}

// List returns the whole list.
func (a *Agent) List() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"generation": a.generation, "reset": true, "instances": a.rows}
}

func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	list := a.List()
	if err == nil && from == list["generation"] {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
			list = a.List()
		case <-time.After(time.Duration(min(hold, 60000)) * time.Millisecond):
			list["reset"], list["instances"] = false, []any{}
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

func (a *Agent) serveNotices(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var notices []Notice
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var n Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.At = at
		notices = append(notices, n)
	}
	a.mu.Lock()
	a.notices = append(a.notices, notices...)
	a.mu.Unlock()
	for _, n := range notices {
		a.record.Add("platform: notice %s %s", n.ID, n.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

// FirstNotice returns the first notice of a message; false if there is none.
func (a *Agent) FirstNotice(id string) (Notice, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.notices {
		if n.ID == id {
			return n, true
		}
	}
	return Notice{}, false
}
