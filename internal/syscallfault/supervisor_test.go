package syscallfault

import (
	"testing"

	"golang.org/x/sys/unix"
)

// A poll that a signal interrupts must not end the supervisor: its process would get ENOSYS from each reported call.
func TestInterruptedPollDoesNotEndTheSupervisor(t *testing.T) {
	for name, tt := range map[string]struct {
		events           int16
		callWaits, ended bool
		fails            bool
	}{
		"a call waits":                      {unix.POLLIN, true, false, false},
		"interrupted":                       {unix.POLLERR, false, false, false},
		"a call has its answer on the way":  {unix.POLLOUT, false, false, false},
		"the process has ended":             {unix.POLLHUP, false, true, false},
		"the process has ended in a call":   {unix.POLLHUP | unix.POLLIN, true, false, false},
		"interrupted at the process's end":  {unix.POLLHUP | unix.POLLERR, false, true, false},
		"the listener was closed elsewhere": {unix.POLLNVAL, false, false, true},
	} {
		callWaits, ended, err := listenerState(tt.events)
		if callWaits != tt.callWaits || ended != tt.ended || (err != nil) != tt.fails {
			t.Errorf("%s: a call waits %v, ended %v, error %v", name, callWaits, ended, err)
		}
	}
}
