package discovery

import (
	"fmt"
	"testing"
	"time"

	"crossdeal/logic"
)

// applyList applies a list to a directory, and returns the entries for the decision logic and the number of malformed
// rows.
func applyList(d *Directory, l List) ([]logic.Entry, int) {
	u := d.Diff(l)
	rows := d.Apply(&u, time.Now())
	return rows, u.UnusableRows
}

// Endpoints are added and removed over a long run. Names that have not been listed for long are removed unless they are
// in use, so that they do not fill the memory, and no number is assigned twice.
func TestDirectoryRemovesExpiredEndpoints(t *testing.T) {
	d := NewDirectory(nil, nil)
	applyList(d, List{Reset: true, Instances: []Instance{
		{ID: "a", HostPort: "h:1", Lifecycle: "up"}, {ID: "b", HostPort: "h:2", Lifecycle: "up"},
		{ID: "c", HostPort: "h:3", Lifecycle: "up"}, {ID: "d", HostPort: "h:4", Lifecycle: "up"}}})
	applyList(d, List{Instances: []Instance{{ID: "a", Lifecycle: "removed"}, {ID: "b", Lifecycle: "removed"}}})
	applyList(d, List{Reset: true, Instances: []Instance{{ID: "d", HostPort: "h:4", Lifecycle: "up"}}})
	used := func(name string, _ logic.EndpointID) bool { return name == "b" }
	if d.RemoveExpired(time.Now(), used); len(d.idsByName) != 4 {
		t.Errorf("removed at once: left are %v", d.idsByName)
	}
	d.RemoveExpired(time.Now().Add(unlistedRetention+time.Second), used)
	targets := 0
	for _, id := range d.Names() {
		if _, ok := d.Target(id); ok {
			targets++
		}
	}
	if len(d.idsByName) != 2 || targets != 2 || d.idsByName["b"] != 2 || d.idsByName["d"] != 4 || len(d.unlistedSince) != 1 {
		t.Errorf("kept %v, %d targets, unlisted %v", d.idsByName, targets, d.unlistedSince)
	}
	if id := d.AssignID("a"); id != 5 {
		t.Errorf("number %d is assigned again", id)
	}
	successor := NewDirectory(nil, nil)
	for name, id := range d.Names() {
		successor.Adopt(name, id, Target{})
	}
	if successor.AssignID("e") != 6 {
		t.Errorf("the successor's numbers: %v", successor.idsByName)
	}
}

// Malformed rows are left out; the other rows of the list are applied.
func TestDirectoryIgnoresMalformedInstances(t *testing.T) {
	d := NewDirectory(nil, nil)
	applyList(d, List{Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Destination: 1, Lifecycle: "up"}}})
	rows, unusable := applyList(d, List{Instances: []Instance{
		{HostPort: "h:2", Destination: 1, Lifecycle: "up"}, {ID: "b", Destination: 1, Lifecycle: "up"},
		{ID: "c", HostPort: "h", Lifecycle: "up"}, {ID: "d", HostPort: "h:port", Lifecycle: "up"},
		{ID: "e", HostPort: ":0", Lifecycle: "up"},
		{ID: "a", HostPort: "nonsense", Destination: 1, Lifecycle: "draining"},
		{ID: "f", HostPort: "h:6", Destination: 1, Lifecycle: "up"}}})
	if len(rows) != 2 || unusable != 5 || len(d.idsByName) != 2 {
		t.Errorf("%d rows applied, %d left out, names %v", len(rows), unusable, d.idsByName)
	}
	if target, _ := d.Target(d.idsByName["a"]); target.Address != "h:1" {
		t.Errorf("the address of a is now %q", target.Address)
	}
	if fmt.Sprint(rows[0].State, rows[1].State) != fmt.Sprint(logic.Draining, logic.Ready) {
		t.Errorf("states %v, %v", rows[0].State, rows[1].State)
	}
}

// The decision logic gets a limited number of endpoints per destination, since it looks at each of them for each call.
// The others are announced when announced ones drain, move or are removed, and no endpoint that is up is omitted while
// there is room.
func TestEndpointsPerDestinationAreLimited(t *testing.T) {
	const all = 3 * maxAnnouncedPerDestination
	d := NewDirectory(nil, nil)
	announced := map[logic.EndpointID]logic.Entry{}
	whole := List{Reset: true}
	for i := range all {
		whole.Instances = append(whole.Instances, Instance{ID: fmt.Sprint(i), HostPort: "h:1", Destination: 1, Lifecycle: "up"})
	}
	whole.Instances = append(whole.Instances, Instance{ID: "other", HostPort: "h:1", Destination: 2, Lifecycle: "up"})
	check := func(step string, l List, wantUp, wantOmitted int) {
		t.Helper()
		u := d.Diff(l)
		for _, row := range d.Apply(&u, time.Now()) {
			if row.State == logic.Removed {
				delete(announced, row.Endpoint)
			} else {
				announced[row.Endpoint] = row
			}
		}
		ready, other := 0, 0
		for _, row := range announced {
			if row.Destination == 2 {
				other++
			} else if row.State == logic.Ready {
				ready++
			}
		}
		if ready != wantUp || other != 1 || u.OmittedEndpoints != wantOmitted || len(d.Entries()) != len(announced) {
			t.Errorf("%s: %d announced (%d of another destination), %d omitted, %d entries of %d", step, ready, other,
				u.OmittedEndpoints, len(d.Entries()), len(announced))
		}
	}
	part := func(from, to int, lifecycle string) List {
		var l List
		for _, in := range whole.Instances[from:to] {
			in.Lifecycle = lifecycle
			l.Instances = append(l.Instances, in)
		}
		return l
	}
	check("all", whole, maxAnnouncedPerDestination, all-maxAnnouncedPerDestination)
	check("again", whole, maxAnnouncedPerDestination, all-maxAnnouncedPerDestination)
	check("a third drains", part(0, maxAnnouncedPerDestination, "draining"),
		maxAnnouncedPerDestination, all-2*maxAnnouncedPerDestination)
	check("and is up again", part(0, maxAnnouncedPerDestination, "up"),
		maxAnnouncedPerDestination, all-maxAnnouncedPerDestination)
	check("two thirds go", part(0, 2*maxAnnouncedPerDestination, "removed"), maxAnnouncedPerDestination, 0)
	check("and some more", part(2*maxAnnouncedPerDestination, 2*maxAnnouncedPerDestination+10, "removed"),
		maxAnnouncedPerDestination-10, 0)
	check("all are back", whole, maxAnnouncedPerDestination, all-maxAnnouncedPerDestination)
	moved := part(0, all, "up")
	for i := range moved.Instances {
		moved.Instances[i].Destination = int64(3 + i)
	}
	u := d.Diff(moved)
	if d.Apply(&u, time.Now()); u.OmittedEndpoints != 0 || len(d.Entries()) != all+1 ||
		len(d.announcedUpCounts) != all+1 || len(d.omittedByDestination) != 0 {
		t.Errorf("one destination each: %d omitted, %d entries, %d destinations", u.OmittedEndpoints,
			len(d.Entries()), len(d.announcedUpCounts))
	}
}

// Lists that rename all endpoints again and again do not fill the memory with old names.
func TestUnlistedNamesDoNotAccumulate(t *testing.T) {
	d := NewDirectory(nil, nil)
	now := time.Now()
	const listed = 5000
	for i := range 40 {
		l := List{Reset: true}
		for k := range listed {
			l.Instances = append(l.Instances, Instance{ID: fmt.Sprint(i, ".", k), HostPort: "h:1",
				Destination: int64(k), Lifecycle: "up"})
		}
		u := d.Diff(l)
		d.Apply(&u, now)
		now = now.Add(5 * time.Second)
		d.RemoveExpired(now, func(string, logic.EndpointID) bool { return false })
		if d.Len() != listed || len(d.idsByName) > 9*listed || len(d.pages) > len(d.idsByName)/recordsPerPage+40 {
			t.Fatalf("list %d: %d listed, %d names, %d pages", i, d.Len(), len(d.idsByName), len(d.pages))
		}
	}
}
