package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const settingsJSON = `{"balancers":3,"zones":["a"],"tick_s":0.005,"classes":[{"name":"x","aim_s":1,"deadline_s":8,"idempotency":"retryable","worth":1}],` +
	`"machine_types":["k"],"limits":{"max_attempts":6,"max_open":40,"may_cancel":true},"membership_mode":"pushed","weights":"off",` +
	`"rules":{"cold_from":0.2,"drain_grace_s":1,"fall_multiple":2,"fall_s":2,"warm_after_s":14},"specifics":{"call_slots":4,"batch_by_kind":[1],"separate_routes":[false]}}`

// frames returns frames for the given instances: their start, a list, and messages that are refused or time out.
func frames(instances ...int) string {
	var b strings.Builder
	fmt.Fprint(&b, "frame 1 1\nregister 0 2\nentry 11 0 0 5 0 0 -\nentry 12 0 0 5 0 0 -\n")
	for _, instance := range instances {
		fmt.Fprintf(&b, "create %d %d %s\nendpoints %d 2 1 0\n", instance, 100+instance, settingsJSON, instance)
	}
	fmt.Fprint(&b, "eob\n")
	for n := 2; n < 60; n++ {
		fmt.Fprintf(&b, "frame %d.5 %d\n", n, n)
		for _, instance := range instances {
			fmt.Fprintf(&b, "call %d rq_%d_%d 0 8 0 - - 0 5 - 0\ndue %d %d\n", instance, instance, n, instance, n)
		}
		fmt.Fprint(&b, "eob\n")
	}
	return b.String()
}

// actionsByInstance runs the command on an input and returns the actions of each instance.
func actionsByInstance(t *testing.T, in string) map[string][]string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	actions := map[string][]string{}
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if fields := strings.Fields(line); fields[0] != "eor" {
			actions[fields[1]] = append(actions[fields[1]], line)
		}
	}
	return actions
}

func TestInstancesAreIndependent(t *testing.T) {
	together := actionsByInstance(t, frames(0, 1, 2))
	for instance := range 3 {
		alone := actionsByInstance(t, frames(instance))
		if !slices.Equal(together[fmt.Sprint(instance)], alone[fmt.Sprint(instance)]) {
			t.Errorf("instance %d acts differently when it shares the process", instance)
		}
		if len(alone[fmt.Sprint(instance)]) < 50 {
			t.Errorf("instance %d produced only %d actions, want at least 50", instance, len(alone[fmt.Sprint(instance)]))
		}
	}
}

func TestRepliesAndRestarts(t *testing.T) {
	var out bytes.Buffer
	in := "frame 1 1\neob\n\nframe 2 2\ncreate 4 9 " + settingsJSON + "\nhalt 4\ncreate 4 10 " + settingsJSON + "\ncall 4 a 0 8 0 - - 0 5 - 0\neob\n" +
		"frame 3 3\nhalt 4\ndue 4 1\nclient_gone 7 nobody\neob\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if lines[0] != "eor 1" || lines[len(lines)-2] != "eor 2" || lines[len(lines)-1] != "eor 3" {
		t.Errorf("unexpected replies: %q", lines)
	}
}

func TestInputErrorIsOneLine(t *testing.T) {
	for in, want := range map[string]string{
		"frame 1 1\ndue x 1\neob\n":                                   "line 2: field who",
		"frame 1 1\ncreate 0 1 {\"balancers\":1,\"zones\":[]}\neob\n": "Classes",
		"frame 1 1\n": "line 2",
	} {
		err := run(strings.NewReader(in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want one line with %q", in, err, want)
		}
	}
}

// TestThousandEndpoints checks that with a list of a thousand endpoints too, unexpected events do no harm and malformed
// input ends with an error of one line.
func TestThousandEndpoints(t *testing.T) {
	var b strings.Builder
	fmt.Fprint(&b, "frame 1 1\nregister 0 1000\n")
	for i := range 1000 {
		fmt.Fprintf(&b, "entry %d 0 0 %d 0 0 -\n", 100+i, i/2)
	}
	fmt.Fprintf(&b, "create 0 7 %s\nendpoints 0 2 1 0\neob\n", settingsJSON)
	start := b.String()
	unexpected := start + "frame 2 2\nreply 0 nobody 1 100 0 completed 0.1 - -\ndue 0 9\ncall 0 rq 0 8 0 - - 0 499 - 0\neob\n"
	if got := actionsByInstance(t, unexpected)["0"]; !slices.ContainsFunc(got, func(line string) bool { return strings.HasPrefix(line, "call_out 0 rq ") }) {
		t.Errorf("after unexpected events: got %v, want a call_out for rq", got)
	}
	for _, bad := range []string{"frame x 2\neob\n", "frame 2 2\ncall 0\neob\n", "frame 2 2\nnonsense 0\neob\n"} {
		var out bytes.Buffer
		err := run(strings.NewReader(start+bad), &out)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want an error of one line", bad, err)
		}
	}
}
