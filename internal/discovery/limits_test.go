package discovery

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const responseHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n"

// writeSlowly writes so many bytes a second.
func writeSlowly(w io.Writer, text string, rate int) {
	const steps = 10
	for len(text) > 0 {
		n := min(len(text), rate/steps)
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(time.Second / steps)
	}
}

// A long list on a slow line takes longer than any answer may take to begin, and is read; that it comes is not told as a
// watch that waits.
func TestLongListOverSlowConnection(t *testing.T) {
	var text strings.Builder
	writeWholeList(&text, 6, 20000)
	if text.Len() < 2<<20 {
		t.Fatalf("%d bytes", text.Len())
	}
	runOnVirtualTime(t, 0, func(b *virtualTimeTest, w io.Writer) {
		io.WriteString(w, responseHead+"\r\n")
		writeSlowly(w, text.String(), 2*minBytesPerSecond)
	}, func(b *virtualTimeTest) {
		ev := b.nextEvent(time.Minute)
		if ev == nil || !ev.HasUpdate || len(ev.Update.Rows) != 20000 || time.Since(b.startedAt) < 5*time.Second {
			t.Errorf("told %+v after %v", ev, time.Since(b.startedAt))
		}
		if n := b.log.count("WARN"); n != 0 {
			t.Errorf("%d lines of trouble", n)
		}
	})
}

// An answer that trickles, stops midway or never ends is given up within seconds, and asked for again.
func TestStalledAnswersAreAbandoned(t *testing.T) {
	row := `{"instanceId":"a","hostPort":"h:1","lifecycle":"up"},`
	for name, go_on := range map[string]func(w io.Writer){
		"trickle":         func(w io.Writer) { writeSlowly(w, strings.Repeat(" ", 1<<20), 50) },
		"trickle of rows": func(w io.Writer) { writeSlowly(w, strings.Repeat(row, 1<<12), 20*len(row)) },
		"stop":            func(w io.Writer) { time.Sleep(time.Hour) },
	} {
		runOnVirtualTime(t, 0, func(b *virtualTimeTest, w io.Writer) {
			io.WriteString(w, responseHead+"\r\n"+`{"generation":6,"reset":true,"instances":[`+row)
			go_on(w)
		}, func(b *virtualTimeTest) {
			time.Sleep(5 * time.Second)
			if n, last := b.calls(); n < 2 || b.log.count("the list stays as it is") != n-1 || b.log.count("not in time") != n-1 {
				t.Errorf("%s: %d calls, the last after %v, %d lines", name, n, last, b.log.count("the list stays as it is"))
			}
			for ev := b.nextEvent(0); ev != nil; ev = b.nextEvent(0) {
				if ev.HasUpdate {
					t.Errorf("%s: told %+v", name, ev)
				}
			}
		})
	}
}

// An answer over the limit is an error of its own, which names size and limit; the list that is known stays.
func TestOversizedListIsReported(t *testing.T) {
	for name, x := range map[string]struct{ head, want string }{
		"length told": {fmt.Sprintf("Content-Length: %d\r\n", MinAnswerLimitBytes+1), fmt.Sprintf("too large: %d bytes, the limit is %d", MinAnswerLimitBytes+1, MinAnswerLimitBytes)},
		"no length":   {"", "the list is too large: over"},
	} {
		runOnVirtualTime(t, 0, func(b *virtualTimeTest, w io.Writer) {
			io.WriteString(w, responseHead+x.head+"\r\n"+`{"generation":6,"reset":true,"instances":[`)
			row := `{"instanceId":"a","hostPort":"h:1","lifecycle":"up"},` + strings.Repeat(" ", 1000)
			for range 2 * MinAnswerLimitBytes / len(row) {
				if _, err := io.WriteString(w, row); err != nil {
					return
				}
			}
		}, func(b *virtualTimeTest) {
			time.Sleep(time.Second)
			if n, _ := b.calls(); n < 2 || b.log.count(x.want) < 1 || b.log.count("the list stays as it is") < 1 {
				t.Errorf("%s: %d calls, log %s", name, n, b.log.text.String())
			}
		})
	}
	runOnVirtualTime(t, 0, func(b *virtualTimeTest, w io.Writer) { // many short rows take more memory than their bytes
		io.WriteString(w, responseHead+"\r\n"+`{"generation":6,"reset":true,"instances":[`)
		for range MinAnswerLimitBytes / 10 / 100 {
			if _, err := io.WriteString(w, strings.Repeat(`{"cell":1},`, 100)); err != nil {
				return
			}
		}
	}, func(b *virtualTimeTest) {
		time.Sleep(time.Second)
		if want := fmt.Sprintf("too large: over %d rows", MinAnswerLimitBytes/minRowBytes); b.log.count(want) < 1 {
			t.Errorf("log %s", b.log.text.String())
		}
	})
}

// A list of 40,000 entries is over the least limit; where the platform gives the memory it is read, at the first call.
func TestAnswerLimitFollowsConfig(t *testing.T) {
	var text strings.Builder
	writeWholeList(&text, 6, 40000)
	for _, x := range []struct {
		most int64
		rows int
	}{{0, 0}, {32 << 20, 40000}} {
		runOnVirtualTime(t, x.most, func(b *virtualTimeTest, w io.Writer) { io.WriteString(w, responseHead+"\r\n"+text.String()) }, func(b *virtualTimeTest) {
			ev := b.nextEvent(50 * time.Millisecond)
			if x.rows == 0 && (ev == nil || !ev.UnusableAnswer || ev.HasUpdate) || x.rows > 0 && (ev == nil || len(ev.Update.Rows) != x.rows) {
				t.Errorf("limit %d: told %v", x.most, ev != nil)
			}
			if n, _ := b.calls(); n != 1 {
				t.Errorf("limit %d: %d calls", x.most, n)
			}
		})
	}
}

// Answers that can't be taken are followed by a pause that grows, also beyond the watch that they end; whatever it is, a
// change is known within 6 s of discovery answering well again, and from then on nothing is late.
func TestBackoffAfterBadAnswers(t *testing.T) {
	for name, bad := range map[string]string{
		"unreadable": responseHead + "Content-Length: 5\r\n\r\n<html",
		"older":      responseHead + "\r\n" + `{"generation":4,"reset":false,"instances":[]}`,
		"too large":  responseHead + "Content-Length: 99999999\r\n\r\n{",
	} {
		for seconds := 1; seconds <= 30; seconds += 7 {
			well := time.Duration(seconds) * time.Second
			runOnVirtualTime(t, 0, func(b *virtualTimeTest, w io.Writer) {
				if time.Since(b.startedAt) < well {
					io.WriteString(w, bad)
					return
				}
				text := `{"generation":6,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`
				fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", responseHead, len(text), text)
			}, func(b *virtualTimeTest) {
				for time.Since(b.startedAt) < time.Minute {
					ev := b.nextEvent(time.Minute)
					if ev == nil || ev.HasUpdate {
						break
					}
					if ev.Err != nil {
						b.startWatch() // as the module has it do, after half a second
					}
				}
				n, last := b.calls()
				if late := time.Since(b.startedAt) - well; late < 0 || late > 6*time.Second {
					t.Errorf("%s for %v: known %v later", name, well, late)
				}
				if most := 8 + seconds/2; n > most { // a call every 100 ms would be 10 a second
					t.Errorf("%s for %v: %d calls, want %d at most (the last after %v)", name, well, n, most, last)
				}
				if b.meanBackoff != 0 {
					t.Errorf("%s: the pause is still %v after a good answer", name, b.meanBackoff)
				}
			})
		}
	}
}

// What is applied is saved, as a change where the saved list stands before it and whole where it does not; nothing is
// written while nothing changes, and where there is no room one line says so.
func TestUpdatesAreSaved(t *testing.T) {
	answers := []string{ // one for each call
		`{"generation":5,"reset":false,"instances":[]}`, // nothing has changed, nothing is saved
		`{"generation":6,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"},{"instanceId":"b","hostPort":"h:2","lifecycle":"up"}]}`,
		`{"generation":6,"reset":false,"instances":[]}`,
		`{"generation":7,"reset":false,"instances":[{"instanceId":"b","lifecycle":"removed"}]}`,
		`{"generation":8,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"},{"instanceId":"c","hostPort":"h:3","lifecycle":"draining"}]}`,
		`{"generation":9,"reset":false,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"},{"instanceId":"c","hostPort":"h:3","lifecycle":"up"}]}`,
		`{"generation":9,"reset":false,"instances":[]}`,
	}
	want := []string{"none", "6: a up, b up", "6: a up, b up", "7: a up", "8: a up, c draining", "9: a up, c up", "9: a up, c up"}
	for _, budget := range []int64{1 << 20, 100} {
		dir := t.TempDir()
		var n int
		runOnVirtualTime(t, 0, func(b *virtualTimeTest, w io.Writer) {
			if n == len(answers) {
				time.Sleep(time.Hour)
			}
			n++
			text := answers[n-1]
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", responseHead, len(text), text)
		}, func(b *virtualTimeTest) {
			for i := range answers {
				x := (<-b.events).(Event)
				for x.WatchAccepted || x.UnusableAnswer {
					x = (<-b.events).(Event)
				}
				if x.Err != nil {
					t.Fatalf("answer %d: %v", i, x.Err)
				}
				b.directory.Apply(&x.Update, time.Now())
				x.Done()
				synctest.Wait()
				if got := describeSavedList(t, dir); budget > 1000 && got != want[i] || budget < 1000 && got != "none" {
					t.Errorf("budget %d, after answer %d: saved %s, want %s", budget, i, got, want[i])
				}
			}
			if lines := b.log.count("not kept for the next start"); budget > 1000 && lines != 0 || budget < 1000 && lines != 1 {
				t.Errorf("budget %d: %d lines", budget, lines)
			}
		}, func(c *Client) { c.store = OpenStore(dir, budget, c.log) })
	}
}

// describeSavedList reads a copy of what is saved in a folder.
func describeSavedList(t *testing.T, dir string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, storeFileName))
	if err != nil {
		return "none"
	}
	at := t.TempDir()
	if err := os.WriteFile(filepath.Join(at, storeFileName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	d := NewDirectory(nil, nil)
	saved, err := OpenStore(at, 1<<20, discardLogger).Load(func(rows []Instance) error {
		u := d.Diff(List{Instances: rows})
		d.Apply(&u, time.Now())
		return nil
	})
	if err != nil {
		return err.Error()
	}
	if saved.Origin != "discovery:1" {
		t.Errorf("saved from %q", saved.Origin)
	}
	return fmt.Sprintf("%d: %s", saved.Generation, describeRows(slices.Collect(d.Listed())))
}
