package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	upgradeEndpoints = 3200
	upgradeCells     = 2000             // some have one endpoint, some two: 1.6 on average
	servedPerCell    = 3                // messages, before each upgrade
	servingClients   = 16               // connections over which they are handed in
	upgradeTime      = 80 * time.Second // no round begins after this
	calmUpgrades     = 3                // rounds without the disruption
	killStep         = time.Millisecond
	killSteps        = 16 // the kill comes 2 to 17 steps after the old process has said that it is not ready any more
	firstKillStep    = 2
)

// playUpgradeKill upgrades a sender again and again, until a new process ends by itself. With the disruption the old process
// is killed during the upgrade.
func playUpgradeKill(rec *record, root, dir string, trouble bool) (broken []string, err error) {
	begun := time.Now()
	server, err := newEndpoint(rec, "all endpoints", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server.quiet = true
	server.setAnswer(healthy(0))
	var rows []instance
	for i := range upgradeEndpoints {
		rows = append(rows, instance{ID: fmt.Sprintf("s-%08x", 0x5be2a000+i), HostPort: server.addr(), Zone: "recife-1", MachineType: "variados",
			Cell: i % upgradeCells, Lifecycle: "up", Weight: 100})
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
	s.discovery, s.known = agent.addr(), agent.known()
	old, err := s.startAndWait()
	if err != nil {
		return nil, err
	}
	for round := 0; len(broken) == 0 && time.Since(begun) < upgradeTime && (trouble || round < calmUpgrades); round++ {
		accepted := serveAllCells(s, round)
		calls := len(server.snapshot())
		rec.add("client: %d messages in all cells handed in and taken on, %d calls so far", accepted, calls)
		next, err := s.start()
		if err != nil {
			return nil, err
		}
		deadline := time.Now().Add(6 * time.Second)
		if trouble {
			for answer := "ok"; answer == "ok" && time.Now().Before(deadline); {
				if answer, err = old.ready(); err != nil {
					break
				}
			}
			time.Sleep(time.Duration(firstKillStep+round*5%killSteps) * killStep)
			s.signal(old, syscall.SIGKILL)
			<-old.ended
		}
		for answer := ""; answer != "ok" && !next.hasEnded() && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			answer, _ = next.ready()
		}
		if !trouble {
			s.signal(old, syscall.SIGTERM)
			select {
			case <-old.ended:
			case <-time.After(3700 * time.Millisecond):
				s.signal(old, syscall.SIGKILL)
				<-old.ended
			}
		}
		if next.hasEnded() {
			broken = append(broken, fmt.Sprintf("%s, the new one, ended in upgrade %d: %s: %s", next.name, round+1, next.state, firstPanicLine(next.logPath)))
		}
		old = next
	}
	rec.add("upgrades: %d", len(s.processes)-1)
	return broken, nil
}

// serveAllCells hands in messages for all cells, and returns how many were taken on.
func serveAllCells(s *sender, round int) int {
	var accepted atomic.Int64
	var clients sync.WaitGroup
	for number := range servingClients {
		clients.Go(func() {
			c, err := dialClient(s.listen)
			if err != nil {
				return
			}
			defer c.conn.Close()
			for i := number; i < servedPerCell*upgradeCells; i += servingClients {
				answer, err := c.call(encodePut(fmt.Sprintf("%08x%08x", round, i), "aviso", 5*time.Second, i%upgradeCells, "body"))
				if err != nil {
					return
				}
				if answer == "+OK" {
					accepted.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return int(accepted.Load())
}

func firstPanicLine(path string) string {
	text, _ := os.ReadFile(path)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return strings.TrimSpace(line)
		}
	}
	return "no panic in its log"
}
