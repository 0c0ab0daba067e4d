// This file holds the directory: the replica of the list in memory, by endpoint name and by the number that the
// decision logic uses for an endpoint.

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

const (
	unlistedRetention = 10 * time.Minute // how long an endpoint that is not listed keeps its number

	// With more unlisted endpoints than listed ones plus maxExtraUnlisted, they keep their numbers only for
	// minUnlistedRetention: lists that rename all endpoints again and again would fill the memory otherwise.
	maxExtraUnlisted     = 16384
	minUnlistedRetention = 30 * time.Second

	recordsPerPage = 256  // records that are allocated together
	maxLabels      = 4096 // different zones, or kinds, that are distinguished

	// Endpoints of one destination that the decision logic gets: it looks at each of them for each call.
	maxAnnouncedPerDestination = 1024
)

// Directory is the replica of the list: it maps endpoint names (Instance.ID) to the numbers that the decision logic
// uses (logic.EndpointID), and numbers to targets. Only the goroutine of the event loop changes it; others may read it
// at any time. An endpoint takes about 150 bytes, plus its name and address.
type Directory struct {
	mu                   sync.RWMutex
	zones                labelTable
	kinds                labelTable
	idsByName            map[string]logic.EndpointID
	pages                map[logic.EndpointID]*page // by number / recordsPerPage
	lastID               logic.EndpointID
	unlistedSince        map[logic.EndpointID]time.Time // of endpoints that have a number but are not listed
	listedCount          int
	unknownCount         int                                     // records in stateUnknown
	announcedUpCounts    map[int64]int                           // announced endpoints that are up, by destination
	omittedByDestination map[int64]map[logic.EndpointID]struct{} // endpoints that are listed but not announced
	omittedCount         int                                     // number of all of those
}

type page struct {
	records   [recordsPerPage]endpointRecord
	usedCount int
}

// endpointRecord is what the list last said about an endpoint.
type endpointRecord struct {
	name        string
	address     string
	destination int64
	weight      float64
	zoneLabel   uint16
	kindLabel   uint16
	state       recordState
	announced   bool // the decision logic has it
}

type recordState uint8

const (
	stateEmpty    recordState = iota // no record
	stateUnlisted                    // has a number, but is not in the list
	stateUp
	stateDraining
	stateUnknown // taken over from another process; whether it is listed is not known yet
)

func (s recordState) isListed() bool { return s == stateUp || s == stateDraining }

// parseLifecycle returns the state for a lifecycle. An unknown one counts as draining, so that nothing new is sent.
func parseLifecycle(lifecycle string) recordState {
	switch lifecycle {
	case "up":
		return stateUp
	case "removed":
		return stateUnlisted
	}
	return stateDraining
}

func (s recordState) lifecycle() string {
	switch s {
	case stateUp:
		return "up"
	case stateDraining:
		return "draining"
	}
	return "removed"
}

func (s recordState) endpointState() logic.EndpointState {
	switch s {
	case stateUp:
		return logic.Ready
	case stateDraining:
		return logic.Draining
	}
	return logic.Removed
}

// labelTable keeps one copy of each of a few strings. Index 0 stands for the empty string, and for any string that is
// added when the table is full.
type labelTable struct {
	names           []string
	indexByName     map[string]uint16
	settingsIndexes []int    // index of each string in settingsNames; -1 if it is not there
	settingsNames   []string // zones or kinds of the settings
}

func newLabelTable(settingsNames []string) labelTable {
	l := labelTable{indexByName: map[string]uint16{}, settingsNames: settingsNames}
	l.add("")
	return l
}

func (l *labelTable) add(name string) uint16 {
	i, ok := l.indexByName[name]
	if !ok && len(l.names) < maxLabels {
		i = uint16(len(l.names))
		l.indexByName[name], l.names, l.settingsIndexes = i, append(l.names, name),
			append(l.settingsIndexes, slices.Index(l.settingsNames, name))
	}
	return i
}

// matches reports whether name has index i.
func (l *labelTable) matches(i uint16, name string) bool {
	return l.names[i] == name || i == 0 && len(l.names) == maxLabels && l.indexByName[name] == 0
}

// Target is where an endpoint can be reached.
type Target struct {
	Address     string // host:port
	ZoneIndex   int    // index in the settings' zones; -1 if they do not have it
	Destination int64
	KindIndex   int // index in the settings' kinds; -1 if they do not have it

	Lifecycle string  // according to the list: up, draining or removed; empty if not known
	Weight    float64 // as in Instance
}

// NewDirectory returns an empty directory. zones and kinds are those of the settings.
func NewDirectory(zones []string, kinds []logic.Kind) *Directory {
	var kindNames []string
	for _, k := range kinds {
		kindNames = append(kindNames, k.Name)
	}
	return &Directory{zones: newLabelTable(zones), kinds: newLabelTable(kindNames),
		idsByName: map[string]logic.EndpointID{}, pages: map[logic.EndpointID]*page{},
		unlistedSince: map[logic.EndpointID]time.Time{}, announcedUpCounts: map[int64]int{},
		omittedByDestination: map[int64]map[logic.EndpointID]struct{}{}}
}

// record returns the record of a number; nil if there is none.
func (d *Directory) record(id logic.EndpointID) *endpointRecord {
	p := d.pages[id/recordsPerPage]
	if p == nil || p.records[id%recordsPerPage].state == stateEmpty {
		return nil
	}
	return &p.records[id%recordsPerPage]
}

// Apply applies an update and returns the entries for the decision logic. An endpoint keeps its number while it is
// listed and for some time afterwards, even if its address changes. The cost depends on the number of rows in the
// update, not on the size of the list.
func (d *Directory) Apply(u *Update, now time.Time) []logic.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]logic.Entry, 0, len(u.Rows))
	var freedDestinations []int64 // destinations that may have room for omitted endpoints
	for i := range u.Rows {
		in := &u.Rows[i]
		id := d.assignID(in.ID)
		r := d.record(id)
		oldDestination := r.destination
		d.removeFromCounts(id, r)
		d.setState(id, r, parseLifecycle(in.Lifecycle), now)
		if r.state.isListed() {
			r.zoneLabel, r.kindLabel, r.destination, r.weight = d.zones.add(in.Zone), d.kinds.add(in.Kind),
				in.Destination, in.Weight
		}
		if isValidHostPort(in.HostPort) {
			r.address = in.HostPort
		}
		entry := d.entry(id, r)
		if !d.addToCounts(id, r) { // even if it was not announced here: an earlier process may have announced it
			entry.State = logic.Removed
		}
		entries = append(entries, entry)
		if len(d.omittedByDestination[oldDestination]) > 0 {
			freedDestinations = append(freedDestinations, oldDestination)
		}
	}
	for _, destination := range freedDestinations {
		entries = d.announceOmitted(destination, entries)
	}
	u.OmittedEndpoints = d.omittedCount
	return entries
}

// removeFromCounts removes a record from the counts of announced and omitted endpoints, before it changes.
func (d *Directory) removeFromCounts(id logic.EndpointID, r *endpointRecord) {
	switch {
	case r.announced && r.state == stateUp:
		if d.announcedUpCounts[r.destination]--; d.announcedUpCounts[r.destination] == 0 {
			delete(d.announcedUpCounts, r.destination)
		}
	case !r.announced && r.state.isListed():
		d.omittedCount--
		if delete(d.omittedByDestination[r.destination], id); len(d.omittedByDestination[r.destination]) == 0 {
			delete(d.omittedByDestination, r.destination)
		}
	}
}

// addToCounts decides whether the decision logic gets a record, counts it and returns the decision. A draining endpoint
// takes no room, but is not newly announced where there is none.
func (d *Directory) addToCounts(id logic.EndpointID, r *endpointRecord) bool {
	hasRoom := d.announcedUpCounts[r.destination] < maxAnnouncedPerDestination
	switch {
	case !r.state.isListed():
		r.announced = false
	case r.state == stateUp && hasRoom:
		d.announcedUpCounts[r.destination]++
		r.announced = true
	case r.state == stateDraining && (r.announced || hasRoom):
		r.announced = true
	default:
		r.announced = false
		if d.omittedByDestination[r.destination] == nil {
			d.omittedByDestination[r.destination] = map[logic.EndpointID]struct{}{}
		}
		d.omittedByDestination[r.destination][id] = struct{}{}
		d.omittedCount++
	}
	return r.announced
}

// announceOmitted announces omitted endpoints of a destination, as far as there is room, and appends their entries.
func (d *Directory) announceOmitted(destination int64, entries []logic.Entry) []logic.Entry {
	for id := range d.omittedByDestination[destination] {
		r := d.record(id)
		if d.announcedUpCounts[destination] >= maxAnnouncedPerDestination {
			break
		}
		if r.state == stateUp {
			d.removeFromCounts(id, r)
			d.addToCounts(id, r)
			entries = append(entries, d.entry(id, r))
		}
	}
	return entries
}

// setState changes the state of a record and the counts by state.
func (d *Directory) setState(id logic.EndpointID, r *endpointRecord, s recordState, now time.Time) {
	if r.state.isListed() {
		d.listedCount--
	}
	if r.state == stateUnknown {
		d.unknownCount--
	}
	if r.state = s; s.isListed() {
		d.listedCount++
	}
	if s == stateUnknown {
		d.unknownCount++
	}
	if s != stateUnlisted {
		delete(d.unlistedSince, id)
	} else if _, ok := d.unlistedSince[id]; !ok {
		d.unlistedSince[id] = now
	}
}

// entry returns a record in the form that the decision logic gets.
func (d *Directory) entry(id logic.EndpointID, r *endpointRecord) logic.Entry {
	return logic.Entry{Endpoint: id, Zone: d.zones.settingsIndexes[r.zoneLabel],
		Kind: d.kinds.settingsIndexes[r.kindLabel], Destination: r.destination, State: r.state.endpointState(), Nominal: r.weight}
}

// instance returns a record in the form of the list.
func (d *Directory) instance(r *endpointRecord) Instance {
	return Instance{ID: r.name, HostPort: r.address, Zone: d.zones.names[r.zoneLabel], Kind: d.kinds.names[r.kindLabel],
		Destination: r.destination, Lifecycle: r.state.lifecycle(), Weight: r.weight}
}

// isValidHostPort reports whether an address has a host and a port that is not 0.
func isValidHostPort(hostPort string) bool {
	host, port, err := net.SplitHostPort(hostPort)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && n > 0
}

// AssignID returns the number of a name, and assigns a new one if it has none.
func (d *Directory) AssignID(name string) logic.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.assignID(name)
}

func (d *Directory) assignID(name string) logic.EndpointID {
	id, ok := d.idsByName[name]
	if !ok {
		id = d.lastID + 1
		d.addRecord(name, id)
	}
	return id
}

// addRecord assigns a number to a name.
func (d *Directory) addRecord(name string, id logic.EndpointID) *endpointRecord {
	d.idsByName[name], d.lastID = id, max(d.lastID, id)
	p := d.pages[id/recordsPerPage]
	if p == nil {
		p = &page{}
		d.pages[id/recordsPerPage] = p
	}
	r := &p.records[id%recordsPerPage]
	if r.state == stateEmpty {
		p.usedCount++
	}
	*r = endpointRecord{name: name, state: stateUnlisted}
	return r
}

// removeRecord removes a name and its number.
func (d *Directory) removeRecord(id logic.EndpointID, r *endpointRecord) {
	delete(d.idsByName, r.name)
	delete(d.unlistedSince, id)
	*r = endpointRecord{}
	p := d.pages[id/recordsPerPage]
	if p.usedCount--; p.usedCount == 0 {
		delete(d.pages, id/recordsPerPage)
	}
}

// LookupID returns the number of a name, if it has one.
func (d *Directory) LookupID(name string) (logic.EndpointID, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	id, ok := d.idsByName[name]
	return id, ok
}

// Target returns where an endpoint can be reached; false if it never had an address.
func (d *Directory) Target(id logic.EndpointID) (Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.record(id)
	if r == nil || r.address == "" {
		return Target{}, false
	}
	t := Target{Address: r.address, ZoneIndex: d.zones.settingsIndexes[r.zoneLabel], Destination: r.destination,
		KindIndex: d.kinds.settingsIndexes[r.kindLabel], Weight: r.weight}
	if r.state != stateUnknown {
		t.Lifecycle = r.state.lifecycle()
	}
	return t, true
}

// Name returns the name of an endpoint; empty if the number is not in use.
func (d *Directory) Name(id logic.EndpointID) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if r := d.record(id); r != nil {
		return r.name
	}
	return ""
}

// Len returns the number of listed endpoints.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listedCount
}

// AllStatesKnown reports whether the state of every record is known. After a takeover it is not until the list has
// arrived.
func (d *Directory) AllStatesKnown() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.unknownCount == 0
}

// Listed yields the listed endpoints in the form of the list, in the order of their numbers. No update may be applied
// meanwhile.
func (d *Directory) Listed() iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		var rows []Instance
		for pageIndex := logic.EndpointID(0); ; pageIndex++ {
			rows = rows[:0]
			d.mu.RLock()
			pastEnd := pageIndex > d.lastID/recordsPerPage
			if p := d.pages[pageIndex]; p != nil {
				for i := range p.records {
					if r := &p.records[i]; r.state.isListed() {
						rows = append(rows, d.instance(r))
					}
				}
			}
			d.mu.RUnlock()
			if pastEnd {
				return
			}
			for _, in := range rows { // without the lock: yield may be slow
				if !yield(in) {
					return
				}
			}
		}
	}
}

// Entries returns the entries of all announced endpoints.
func (d *Directory) Entries() []logic.Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entries := make([]logic.Entry, 0, d.listedCount)
	for id, r := range d.records() {
		if r.announced {
			entries = append(entries, d.entry(id, r))
		}
	}
	return entries
}

// records yields all records in the order of their numbers.
func (d *Directory) records() iter.Seq2[logic.EndpointID, *endpointRecord] {
	return func(yield func(logic.EndpointID, *endpointRecord) bool) {
		for pageIndex := logic.EndpointID(0); pageIndex <= d.lastID/recordsPerPage; pageIndex++ {
			p := d.pages[pageIndex]
			if p == nil {
				continue
			}
			for i := range p.records {
				if r := &p.records[i]; r.state != stateEmpty && !yield(pageIndex*recordsPerPage+logic.EndpointID(i), r) {
					return
				}
			}
		}
	}
}

// Names yields every name that has a number, listed or not. Only the goroutine of the event loop may call it.
func (d *Directory) Names() iter.Seq2[string, logic.EndpointID] {
	return func(yield func(string, logic.EndpointID) bool) {
		for id, r := range d.records() {
			if !yield(r.name, id) {
				return
			}
		}
	}
}

// Adopt takes over a number that another process has assigned, with its target, before the first update. A target
// without an address cannot be listed. Without a lifecycle, whether the endpoint is listed is not known until the list
// arrives.
func (d *Directory) Adopt(name string, id logic.EndpointID, t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == 0 || d.record(id) != nil {
		return
	}
	r := d.addRecord(name, id)
	if t.Address == "" {
		d.setState(id, r, stateUnlisted, time.Now())
		return
	}
	r.address, r.destination = t.Address, t.Destination
	r.zoneLabel, r.kindLabel = d.zones.addSettingsName(t.ZoneIndex), d.kinds.addSettingsName(t.KindIndex)
	if t.Lifecycle == "" {
		r.announced = true
		d.setState(id, r, stateUnknown, time.Time{})
		return
	}
	r.weight = t.Weight
	d.setState(id, r, parseLifecycle(t.Lifecycle), time.Now())
	d.addToCounts(id, r)
}

// addSettingsName returns the index in the table of the name at an index in the settings.
func (l *labelTable) addSettingsName(index int) uint16 {
	if index < 0 || index >= len(l.settingsNames) {
		return 0
	}
	return l.add(l.settingsNames[index])
}

// MarkUnknownUnlisted marks the records whose state is still unknown as not listed: the whole list has been applied.
func (d *Directory) MarkUnknownUnlisted(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.records() {
		if r.state == stateUnknown {
			r.announced = false
			d.setState(id, r, stateUnlisted, now)
		}
	}
}

// RemoveExpired removes the endpoints that have not been listed for longer than the retention, unless they are in use.
func (d *Directory) RemoveExpired(now time.Time, inUse func(name string, id logic.EndpointID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	retention := unlistedRetention
	if len(d.unlistedSince) > d.listedCount+maxExtraUnlisted {
		retention = minUnlistedRetention
	}
	for id, since := range d.unlistedSince {
		if r := d.record(id); now.Sub(since) > retention && !inUse(r.name, id) {
			d.removeRecord(id, r)
		}
	}
}
