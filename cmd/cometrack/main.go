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
	configRetryDelay = 100 * time.Millisecond // before a configuration that could not be read is read again
	maxConfigReads   = 10
)

func run(log *slog.Logger) error {
	hangups := make(chan os.Signal, 1) // one that is not read yet stands for all that came since
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

// followDiscoveryAddress takes discovery's address anew at each SIGHUP, until done is closed.
func followDiscoveryAddress(n *node.Node, log *slog.Logger, hangups <-chan os.Signal, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-hangups:
		}
		address, err := node.LoadDiscoveryAddr()
		for reads := 1; err != nil && reads < maxConfigReads; reads++ { // the file may be half written
			select {
			case <-done:
				return
			case <-time.After(configRetryDelay):
			}
			address, err = node.LoadDiscoveryAddr()
		}
		if err != nil {
			log.Error("configuration not taken", "err", err)
			continue
		}
		n.MoveDiscovery(address)
	}
}
