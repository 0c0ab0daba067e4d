package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimitMB  = 32 // the least that a sender may have
	socketLimit    = 256
	memoryCrowd    = 300 // connections that are open at once
	memoryClients  = 30  // each hands in a message a second
	memoryUpgrades = 4
	crowdStays     = 3 * time.Second // until then the sender owes a bad client an error or a close
	upgradeEvery   = 8 * time.Second
	measureEvery   = 10 * time.Millisecond
)

// anonymousKB returns the anonymous memory of a process: no file, and nothing that it shares with another process.
func anonymousKB(p *process) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", p.cmd.Process.Pid))
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "Anonymous:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return kb
		}
	}
	return 0
}

// filesKB returns the size of the files in a folder, each in whole 512 bytes.
func filesKB(dir string) (kb int) {
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			kb += int((info.Size() + 511) / 512 / 2)
		}
		return nil
	})
	return kb
}

// playUpgradeMemory upgrades a sender of the least memory that a sender may have, beside a crowd that connects and idles or
// stops in the middle of a request.
func playUpgradeMemory(rec *record, root, dir string, trouble bool) (broken []string, err error) {
	server, err := newEndpoint(rec, "all endpoints", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server.quiet = true
	server.setAnswer(healthy(200 * time.Millisecond))
	var rows []instance
	for i := range 26 {
		rows = append(rows, instance{ID: fmt.Sprintf("s-%d", i), HostPort: server.addr(), Zone: "recife-1", MachineType: "variados", Cell: i / 2,
			Lifecycle: "up", Weight: 20})
	}
	agent, err := newAgent(rec, 41, rows)
	if err != nil {
		return nil, err
	}
	s, err := newSender(rec, root, dir, 1)
	if err != nil {
		return nil, err
	}
	defer s.endAll()
	s.limits = map[string]any{"cores": 1.0, "memory_mb": memoryLimitMB, "sockets": socketLimit, "disk_mb": 3}
	s.discovery, s.known = agent.addr(), agent.known()
	current, err := s.startAndWait()
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var users sync.WaitGroup
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	body := strings.Repeat("x", 64<<10)
	var accepted atomic.Int64
	for number := range memoryClients {
		users.Go(func() {
			for i := 0; !stopped(); i++ {
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
				id := fmt.Sprintf("%08x%08x", number, i)
				if put(rec, s.listen, id, "aviso", 5*time.Second, rand.IntN(13), body) == "+OK" {
					accepted.Add(1)
				}
			}
		})
	}
	half := encodePut("00000000000000ff", "aviso", 5*time.Second, 3, body)
	for number := range memoryCrowd {
		users.Go(func() {
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			for !stopped() {
				conn, err := net.Dial("tcp", s.listen)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if number%2 == 0 { // the others idle
					io.WriteString(conn, half[:65_000])
				}
				conn.SetReadDeadline(time.Now().Add(crowdStays))
				io.Copy(io.Discard, conn)
				conn.Close()
			}
		})
	}
	defer users.Wait()
	defer close(stop)
	state := filepath.Join(dir, "state")
	used := func(processes ...*process) (kb int) {
		for _, p := range processes {
			kb += anonymousKB(p)
		}
		return kb + filesKB(state)
	}
	time.Sleep(upgradeEvery)
	for number := range memoryUpgrades {
		next := current
		if trouble {
			if next, err = s.start(); err != nil {
				return nil, err
			}
		}
		old, most, alone, ready, killAt := current, 0, 0, false, time.Time{}
		for end := time.Now().Add(upgradeEvery); time.Now().Before(end); time.Sleep(measureEvery) {
			if next == old || old.hasEnded() {
				alone = max(alone, used(next))
			} else {
				most = max(most, used(old, next))
			}
			if next != old && !ready {
				if answer, _ := next.ready(); answer == "ok" {
					ready, killAt = true, time.Now().Add(3700*time.Millisecond)
					s.signal(old, syscall.SIGTERM)
				}
			}
			if ready && !old.hasEnded() && time.Now().After(killAt) {
				s.signal(old, syscall.SIGKILL)
			}
			if next.hasEnded() {
				return nil, errors.New("the sender has ended: " + next.state)
			}
		}
		rec.add("upgrade %d: both processes and the files used up to %d kB, one alone %d kB, of %d kB; %d messages taken on so far", number+1, most, alone,
			memoryLimitMB<<10, accepted.Load())
		if top := max(most, alone); top > memoryLimitMB<<10 {
			broken = append(broken, fmt.Sprintf("upgrade %d: the processes and the files used up to %d kB of %d kB", number+1, top, memoryLimitMB<<10))
		}
		current = next
	}
	return broken, nil
}
