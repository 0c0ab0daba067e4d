// Command cometrack runs one sender on real sockets: it receives messages from clients over RESP2 and delivers them over
// HTTP to the endpoints of their destinations.
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

// logLevelVariable is the environment variable for the lowest level that is logged: debug, info, warn or error.
const logLevelVariable = "BALANCER_LOG"

// logLevel returns the level that the environment sets, or info if it sets none or an unknown one.
func logLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(os.Getenv(logLevelVariable))); err != nil {
		return slog.LevelInfo
	}
	return level
}

const (
	configRetryDelay = 100 * time.Millisecond // between two reads of a configuration that could not be read
	maxConfigReads   = 10
)

func run(log *slog.Logger) error {
	hangups := make(chan os.Signal, 1) // one pending signal stands for all that arrive before it is handled
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := node.LoadConfig()
	if err != nil {
		return err
	}
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1))
	}
	if memory := cfg.Limits.MemoryMB; memory > 0 {
		debug.SetMemoryLimit(int64(memory * 0.7 * (1 << 20)))
	}
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { followDiscoveryAddress(n, log, hangups, done) })
	err = n.Run(ctx)
	close(done)
	wg.Wait()
	return err
}

// followDiscoveryAddress reads discovery's address again at each SIGHUP and passes it to the node, until done is closed.
func followDiscoveryAddress(n *node.Node, log *slog.Logger, hangups <-chan os.Signal, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-hangups:
		}
		address, err := node.LoadDiscoveryAddr()
		for reads := 1; err != nil && reads < maxConfigReads; reads++ { // the file may be incomplete while it is being written
			select {
			case <-done:
				return
			case <-time.After(configRetryDelay):
			}
			address, err = node.LoadDiscoveryAddr()
		}
		if err != nil {
			log.Error("cannot read the configuration, keeping the discovery address", "err", err)
			continue
		}
		n.MoveDiscovery(address)
	}
}
