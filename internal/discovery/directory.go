package discovery

import (
	"iter"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"crossdeal/logic"
)

const goneKept = 10 * time.Minute // what is not listed keeps its number for so long

// Directory is the replica of the list: it maps names to the module's numbers and numbers to targets. Only the owner of
// the loop changes it; others may read it at any time.
type Directory struct {
	zones []string
	kinds []logic.Kind

	mu   sync.RWMutex
	ids  map[string]logic.EndpointID
	eps  map[logic.EndpointID]Target
	last logic.EndpointID
	gone map[string]time.Time // since when a name is not listed
}

// Target is where an endpoint can be reached.
type Target struct {
	Addr string // host:port
	Zone int    // place in the settings' zones; -1 if they do not have it
	Dest int64
	Kind int // place in the settings' kinds; -1 if they do not have it
}

// NewDirectory returns an empty directory; zones and kinds are those of the settings.
func NewDirectory(zones []string, kinds []logic.Kind) *Directory {
	return &Directory{zones: zones, kinds: kinds, ids: map[string]logic.EndpointID{}, eps: map[logic.EndpointID]Target{},
		gone: map[string]time.Time{}}
}

// Reduce turns a list into an update.
func (d *Directory) Reduce(l List) Update {
	return Update{Generation: l.Generation, Whole: l.Reset, Rows: l.Instances}
}

// Apply takes an update and returns what the module is to be told. An endpoint keeps its number while it is listed and
// for some time after, whatever its address.
func (d *Directory) Apply(u *Update, now time.Time) []logic.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.Whole {
		for name := range d.ids {
			if _, gone := d.gone[name]; !gone {
				d.gone[name] = now
			}
		}
	}
	rows := make([]logic.Entry, 0, len(u.Rows))
	for _, in := range u.Rows {
		if !d.usable(in) {
			u.Unusable++
			continue
		}
		id := d.number(in.ID)
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, in.Zone), Dest: in.Dest, Nominal: in.Weight,
			Kind: slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == in.Kind })}
		delete(d.gone, in.ID)
		switch in.Lifecycle {
		case "up":
			row.State = logic.Ready
		case "removed":
			row.State = logic.Gone
			d.gone[in.ID] = now
		default: // a state that is not known is no invitation to send
			row.State = logic.Draining
		}
		if reachable(in.HostPort) {
			d.eps[id] = Target{in.HostPort, row.Zone, row.Dest, row.Kind}
		}
		rows = append(rows, row)
	}
	return rows
}

// usable says whether an entry makes sense: it has a name, and what is new has an address too.
func (d *Directory) usable(in Instance) bool {
	return in.ID != "" && (reachable(in.HostPort) || d.eps[d.ids[in.ID]].Addr != "" || in.Lifecycle == "removed")
}

// reachable says whether an address can be called.
func reachable(hostPort string) bool {
	host, port, err := net.SplitHostPort(hostPort)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && bad == nil && host != "" && n > 0
}

// Number is the module's number for a name, a new one if the name is new.
func (d *Directory) Number(name string) logic.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.number(name)
}

func (d *Directory) number(name string) logic.EndpointID {
	id, ok := d.ids[name]
	if !ok {
		d.last++
		id = d.last
		d.ids[name] = id
	}
	return id
}

// Lookup is the number of a name that has one.
func (d *Directory) Lookup(name string) (logic.EndpointID, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	id, ok := d.ids[name]
	return id, ok
}

// Target is where an endpoint can be reached; false if it never had an address.
func (d *Directory) Target(ep logic.EndpointID) (Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	t, ok := d.eps[ep]
	return t, ok
}

// Names yields every name that has a number, listed or not. The directory must not change meanwhile.
func (d *Directory) Names() iter.Seq2[string, logic.EndpointID] {
	return func(yield func(string, logic.EndpointID) bool) {
		d.mu.RLock()
		defer d.mu.RUnlock()
		for name, id := range d.ids {
			if !yield(name, id) {
				return
			}
		}
	}
}

// Adopt takes a number of another process over, with its target (without an address if it has none).
func (d *Directory) Adopt(name string, id logic.EndpointID, t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ids[name] = id
	d.last = max(d.last, id)
	if t.Addr != "" {
		d.eps[id] = t
	}
}

// Forget drops what has not been listed for long, unless it is still in use.
func (d *Directory) Forget(now time.Time, used func(name string, id logic.EndpointID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, since := range d.gone {
		if id := d.ids[name]; now.Sub(since) > goneKept && !used(name, id) {
			delete(d.gone, name)
			delete(d.ids, name)
			delete(d.eps, id)
		}
	}
}
