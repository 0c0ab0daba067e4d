package node

import (
	"context"
	"log/slog"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// tracer writes a debug line for each step in the life of a message, by its id: accepted, sent where and on which
// generation of the list, how each attempt ended, why it was refused. It costs nothing at other levels.
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

// duplicate is a message that was handed in under an id that is known.
func (t *tracer) duplicate(id string) {
	if t.enabled {
		t.log.Debug("message repeated", "id", id)
	}
}

// rejected is a message that was refused before the module saw it.
func (t *tracer) rejected(id string, open, most int) {
	if t.enabled {
		t.log.Debug("message turned away", "id", id, "open", open, "max_open", most)
	}
}

// notAccepted is a message that the module ended in the step in which it came.
func (t *tracer) notAccepted(id, answer string) {
	if t.enabled {
		t.log.Debug("message not accepted", "id", id, "answer", answer)
	}
}

// ended is an accepted message that the module gives up.
func (t *tracer) ended(x Notice) {
	if t.enabled {
		t.log.Debug("message ended", "id", x.ID, "state", x.State, "after_ms", x.AfterMS)
	}
}

func (t *tracer) send(c *call, generation int64) {
	if t.enabled {
		t.log.Debug("send", "id", c.id, "attempt", c.attempt, "endpoint", t.directory.Name(c.endpoint), "dest", c.destination,
			"generation", generation, "kept", c.reusedConn != nil, "give_up", c.timeout.String())
	}
}

// withheld is an attempt that had connected and was not written.
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
