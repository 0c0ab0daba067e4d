// Case 3: a destination that has failed all calls for 10 s comes back cold and gets a whole burst.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"crossdeal/review/kit"
)

const (
	senders   = 3
	big       = 1                // the destination with the outage
	bigRate   = 20.0             // calls a second that it takes from all senders together: the weight in the list
	bigCount  = 2                // its endpoints
	others    = 3                // other destinations, of one endpoint each
	outageAt  = 10 * time.Second // after the first message
	outage    = 10 * time.Second
	burst     = 60 // messages for the big destination, handed in within burstTime right after its return
	burstTime = 500 * time.Millisecond
	endAt     = 40 * time.Second
	limit     = 15 * time.Second // of a message

	// The figures of the settings.
	fallMultiple = 2.0
	fallTime     = 2 * time.Second
	coldFrom     = 0.2
	warmAfter    = 14 * time.Second
)

// destination is what the endpoints of the big destination have in common.
type destination struct {
	record  *kit.Record
	trouble bool
	start   time.Time

	mu        sync.Mutex
	calls     []time.Time
	told      map[string]int // by sender: calls that failed during the outage
	fallen    bool
	cause     string
	worst     float64 // most calls that came, as a share of what makes it fall
	worstText string
	delivered map[string]bool
}

// since returns the time since the destination's return; negative before it, and without the outage.
func (d *destination) since(t time.Time) time.Duration {
	if !d.trouble {
		return -1
	}
	return t.Sub(d.start.Add(outageAt + outage))
}

func (d *destination) failing(t time.Time) bool {
	age := d.since(t)
	return d.trouble && age < 0 && age >= -outage
}

// arrive counts a call, and decides whether the destination falls over. It returns whether the call fails.
func (d *destination) arrive(sender, id string) (fails bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.failing(now) {
		d.told[sender]++
		d.record.Add("destination %d: %s of %s fails", big, id, sender)
		return true
	}
	age := d.since(now)
	if d.fallen || age < 0 || age > warmAfter {
		return d.fallen
	}
	d.calls = append(d.calls, now)
	count := 0
	for _, t := range d.calls {
		if now.Sub(t) < fallTime {
			count++
		}
	}
	capacity := bigRate * (coldFrom + (1-coldFrom)*age.Seconds()/warmAfter.Seconds())
	n := fallMultiple * capacity * fallTime.Seconds()
	most := n + 2*math.Sqrt(n) + 2
	if n < 30 {
		most = n + 3*math.Sqrt(n) + 3
	}
	if share := float64(count) / most; share > d.worst {
		d.worst = share
		d.worstText = fmt.Sprintf("%d calls in %v, %.2f s after its return; it falls at more than %.1f", count, fallTime, age.Seconds(), most)
	}
	if float64(count) > most {
		d.fallen = true
		d.cause = fmt.Sprintf("%d calls in %v, %.2f s after its return: it falls at more than %.1f (N is %.1f)", count, fallTime, age.Seconds(), most, n)
		d.record.Add("destination %d: falls over: %s", big, d.cause)
	}
	return d.fallen
}

// listen opens an address for one endpoint and one sender.
func (d *destination) listen(sender string, isBig bool) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(conn, sender, isBig)
		}
	}()
	return ln.Addr().String(), nil
}

func (d *destination) serve(conn net.Conn, sender string, isBig bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id, answer := request.Header.Get("X-Trace-Id"), "200 OK"
		if isBig && d.arrive(sender, id) {
			answer = "500 Internal Server Error"
		}
		time.Sleep(time.Duration(150+rand.IntN(150)) * time.Millisecond)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", answer); err != nil {
			return
		}
		if answer == "200 OK" {
			d.mu.Lock()
			d.delivered[id] = true
			d.mu.Unlock()
		}
	}
}

// fail prints why the case could not run.
func fail(err error) int {
	fmt.Println(err)
	return 2
}

func main() { os.Exit(run()) }

// run returns 0 if the rule held, 1 if it was broken and 2 if the case could not run.
func run() int {
	root, folder := os.Args[1], os.Args[2]
	record, err := kit.OpenRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	d := &destination{record: record, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), told: map[string]int{}, delivered: map[string]bool{}}
	var addresses []string
	for i := range senders {
		name := fmt.Sprintf("n%d", i+1)
		var rows []map[string]any
		for j := range bigCount + others {
			addr, err := d.listen(name, j < bigCount)
			if err != nil {
				return fail(err)
			}
			cell := big
			if j >= bigCount {
				cell = big + 1 + j - bigCount
			}
			rows = append(rows, kit.Row(fmt.Sprintf("s-%d", j+1), addr, "variados", cell, bigRate))
		}
		agent, err := kit.StartAgent(rows, record)
		if err != nil {
			return fail(err)
		}
		listen, err := kit.FreeAddress()
		if err != nil {
			return fail(err)
		}
		settings := kit.Settings()
		settings["balancers"], settings["me"] = senders, i
		sender := &kit.Sender{Name: name, Root: root, Dir: filepath.Join(dir, name), Listen: listen, Discovery: agent.Addr, Settings: settings, Known: agent.List(), Record: record}
		process, err := sender.Start("")
		if err != nil {
			return fail(err)
		}
		defer process.Kill()
		if err := sender.AwaitReady(process, 30*time.Second); err != nil {
			return fail(err)
		}
		addresses = append(addresses, listen)
	}
	d.mu.Lock()
	d.start = time.Now()
	d.mu.Unlock()

	var mu sync.Mutex
	var wg sync.WaitGroup
	handedIn, accepted, forBig := 0, 0, []string{}
	perCell := map[int]int{} // messages handed in by destination: the front deals them out in turn
	put := func(cell int) {
		mu.Lock()
		handedIn++
		number, turn := handedIn, perCell[cell]
		perCell[cell]++
		mu.Unlock()
		class := "aviso"
		if turn%5 < 2 { // two in five
			class = "cobranca"
		}
		wg.Go(func() {
			client := &kit.Client{Addr: addresses[turn%senders], Record: record}
			defer client.Close()
			p := client.Send(fmt.Sprintf("%016x", number), class, cell, limit, "order")
			mu.Lock()
			defer mu.Unlock()
			if p.Accepted() {
				accepted++
				if cell == big {
					forBig = append(forBig, p.ID)
				}
			}
		})
	}
	steady := func(cell int, every time.Duration) {
		for time.Since(d.start) < endAt {
			put(cell)
			time.Sleep(every)
		}
	}
	wg.Go(func() { steady(big, 2*time.Second) })
	for i := range others {
		wg.Go(func() { steady(big+1+i, 400*time.Millisecond) })
	}
	time.Sleep(time.Until(d.start.Add(outageAt + outage)))
	record.Add("destination %d is back, cold; a burst of %d messages for it begins", big, burst)
	for range burst {
		put(big)
		time.Sleep(burstTime / burst)
	}
	wg.Wait()
	time.Sleep(limit + 500*time.Millisecond)

	d.mu.Lock()
	defer d.mu.Unlock()
	undelivered := 0
	for _, id := range forBig {
		if !d.delivered[id] {
			undelivered++
		}
	}
	summary := fmt.Sprintf("%d messages taken on, %d of these for destination %d, of which %d were not delivered; failed calls during the outage, by sender: %v; fallen over: %v (most: %s)",
		accepted, len(forBig), big, undelivered, d.told, d.fallen, d.worstText)
	record.Add("check: %s", summary)
	fmt.Println(summary)
	allTold := true
	for i := range senders {
		allTold = allTold && d.told[fmt.Sprintf("n%d", i+1)] > 0
	}
	switch {
	case accepted < 200 || d.trouble && !allTold:
		return 2
	case d.fallen:
		return 1
	}
	return 0
}
