package discovery

import (
	"fmt"
	"testing"
	"time"

	"crossdeal/logic"
)

// take has a directory take a list, and returns what the module is told and how many rows made no sense.
func take(d *Directory, l List) ([]logic.Entry, int) {
	u := d.Reduce(l)
	rows := d.Apply(&u, time.Now())
	return rows, u.Unusable
}

// On a long day endpoints come and go: what is gone for long is forgotten, but for what is in use, and no number is
// given twice.
func TestDirectoryForgetsWhatIsGone(t *testing.T) {
	d := NewDirectory(nil, nil)
	take(d, List{Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}, {ID: "b", HostPort: "h:2", Lifecycle: "up"},
		{ID: "c", HostPort: "h:3", Lifecycle: "up"}, {ID: "d", HostPort: "h:4", Lifecycle: "up"}}})
	take(d, List{Instances: []Instance{{ID: "a", Lifecycle: "removed"}, {ID: "b", Lifecycle: "removed"}}})
	take(d, List{Reset: true, Instances: []Instance{{ID: "d", HostPort: "h:4", Lifecycle: "up"}}})
	used := func(name string, _ logic.EndpointID) bool { return name == "b" }
	if d.Forget(time.Now(), used); len(d.ids) != 4 {
		t.Errorf("forgotten at once: %v", d.ids)
	}
	d.Forget(time.Now().Add(goneKept+time.Second), used)
	targets := 0
	for _, id := range d.Names() {
		if _, ok := d.Target(id); ok {
			targets++
		}
	}
	if len(d.ids) != 2 || targets != 2 || d.ids["b"] != 2 || d.ids["d"] != 4 || len(d.gone) != 1 {
		t.Errorf("kept %v, %d targets, gone %v", d.ids, targets, d.gone)
	}
	if id := d.Number("a"); id != 5 {
		t.Errorf("number %d is given again", id)
	}
	successor := NewDirectory(nil, nil)
	for name, id := range d.Names() {
		successor.Adopt(name, id, Target{})
	}
	if successor.Number("e") != 6 {
		t.Errorf("the successor's numbers: %v", successor.ids)
	}
}

// Entries that make no sense are left out, with a line in the log; the others of the list count.
func TestNonsenseAmongEntries(t *testing.T) {
	d := NewDirectory(nil, nil)
	take(d, List{Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Dest: 1, Lifecycle: "up"}}})
	rows, unusable := take(d, List{Instances: []Instance{{HostPort: "h:2", Dest: 1, Lifecycle: "up"}, {ID: "b", Dest: 1, Lifecycle: "up"},
		{ID: "c", HostPort: "h", Lifecycle: "up"}, {ID: "d", HostPort: "h:port", Lifecycle: "up"}, {ID: "e", HostPort: ":0", Lifecycle: "up"},
		{ID: "a", HostPort: "nonsense", Dest: 1, Lifecycle: "draining"}, {ID: "f", HostPort: "h:6", Dest: 1, Lifecycle: "up"}}})
	if len(rows) != 2 || unusable != 5 || len(d.ids) != 2 {
		t.Errorf("%d entries taken, %d left out, names %v", len(rows), unusable, d.ids)
	}
	if to, _ := d.Target(d.ids["a"]); to.Addr != "h:1" {
		t.Errorf("a is called at %q now", to.Addr)
	}
	if fmt.Sprint(rows[0].State, rows[1].State) != fmt.Sprint(logic.Draining, logic.Ready) {
		t.Errorf("states %v, %v", rows[0].State, rows[1].State)
	}
}
