// Command cometrack is one sender on real sockets: it takes messages from clients
// over RESP2 and delivers them to the endpoints of their destinations over HTTP.
package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"crossdeal/internal/node"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	if err := run(log); err != nil {
		log.Error("cometrack", "err", err)
		os.Exit(1)
	}
}

// logLevelVariable names the environment variable that sets the lowest level that is logged: debug, info, warn or error.
const logLevelVariable = "BALANCER_LOG"

// logLevel is the level that the environment asks for, info if it names none that is known.
func logLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(os.Getenv(logLevelVariable))); err != nil {
		return slog.LevelInfo
	}
	return level
}

const (
	readPause = 100 * time.Millisecond // before a configuration that could not be read is read again
	readTries = 10
)

func run(log *slog.Logger) error {
	hup := make(chan os.Signal, 1) // one that is not read yet stands for all that came since
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := node.LoadConfig()
	if err != nil {
		return err
	}
	if c := cfg.Limits.Cores; c > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(c)), 1))
	}
	if m := cfg.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(m * 0.7 * (1 << 20)))
	}
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { follow(n, log, hup, done) })
	err = n.Run(ctx)
	close(done)
	wg.Wait()
	return err
}

// follow takes discovery's address anew at each SIGHUP, until done is closed.
func follow(n *node.Node, log *slog.Logger, hup <-chan os.Signal, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-hup:
		}
		addr, err := node.LoadDiscoveryAddr()
		for i := 1; err != nil && i < readTries; i++ { // the file may be half written
			select {
			case <-done:
				return
			case <-time.After(readPause):
			}
			addr, err = node.LoadDiscoveryAddr()
		}
		if err != nil {
			log.Error("configuration not taken", "err", err)
			continue
		}
		n.MoveDiscovery(addr)
	}
}
