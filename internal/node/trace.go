package node

// Debug tracing of messages.

import (
	"context"
	"log/slog"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// tracer logs each event of a message with its id at debug level: that it was accepted, where it was sent and on which
// generation of the list, how each attempt ended, why it was rejected. It costs next to nothing at other levels.
type tracer struct {
	log       *slog.Logger
	enabled   bool
	directory *discovery.Directory
}

func newTracer(log *slog.Logger, dir *discovery.Directory) *tracer {
	return &tracer{log: log, enabled: log.Enabled(context.Background(), slog.LevelDebug), directory: dir}
}

func (t *tracer) accepted(m *Message) {
	if t.enabled {
		t.log.Debug("message accepted", "id", m.ID, "class", m.Class, "dest", m.Destination, "deadline_us", m.Deadline)
	}
}

// duplicate logs a message with an id that is already known.
func (t *tracer) duplicate(id string) {
	if t.enabled {
		t.log.Debug("duplicate message", "id", id)
	}
}

// rejected logs a message that was rejected before the decision logic saw it.
func (t *tracer) rejected(id string, open, maxOpen int) {
	if t.enabled {
		t.log.Debug("message rejected", "id", id, "open", open, "max_open", maxOpen)
	}
}

// notAccepted logs a message that the decision logic ended in the step in which it was received, or one that was
// rejected.
func (t *tracer) notAccepted(id, answer string) {
	if t.enabled {
		t.log.Debug("message not accepted", "id", id, "answer", answer)
	}
}

// ended logs an accepted message that the decision logic ends.
func (t *tracer) ended(notice Notice) {
	if t.enabled {
		t.log.Debug("message ended", "id", notice.ID, "state", notice.State, "after_ms", notice.AfterMS)
	}
}

func (t *tracer) send(c *call, generation int64) {
	if t.enabled {
		t.log.Debug("send", "id", c.id, "attempt", c.attempt, "endpoint", t.directory.Name(c.endpoint), "dest", c.destination,
			"generation", generation, "kept", c.reusedConn != nil, "give_up", c.timeout.String())
	}
}

// withheld logs an attempt that has connected and is not written.
func (t *tracer) withheld(c *call) {
	if t.enabled {
		t.log.Debug("send withheld", "id", c.id, "attempt", c.attempt, "endpoint", t.directory.Name(c.endpoint))
	}
}

func (t *tracer) cancelled(a logic.Cancel) {
	if t.enabled {
		t.log.Debug("send cancelled", "id", a.ID, "attempt", a.Attempt)
	}
}

func (t *tracer) outcome(ev replyEvent) {
	if t.enabled {
		t.log.Debug("send ended", "id", ev.call.id, "attempt", ev.call.attempt, "endpoint", t.directory.Name(ev.call.endpoint),
			"outcome", ev.result.outcome.String(), "took", ev.duration.String(), "wait", ev.result.retryAfter.String(), "over", ev.result.messageEnded)
	}
}
