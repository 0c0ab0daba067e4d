package node

// Opening listeners at a start, while this host may fail to.

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"crossdeal/internal/neterror"
)

// listenWarningInterval is the time between two log lines of a start that waits for a listener.
const listenWarningInterval = time.Second

// listenPatiently calls listen until it succeeds, fails for another reason than a transient one of this host, or ctx is
// done.
func listenPatiently(ctx context.Context, log *slog.Logger, listen func() (net.Listener, error)) (net.Listener, error) {
	warning := logInterval{interval: listenWarningInterval}
	for {
		ln, err := listen()
		if err == nil || !neterror.IsLocal(err) && !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		if warning.due() {
			log.Error("cannot listen, trying again", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(localRetryDelay):
		}
	}
}
