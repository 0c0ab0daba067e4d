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
	log     *slog.Logger
	enabled bool
	dir     *discovery.Directory
}

func newTracer(log *slog.Logger, dir *discovery.Directory) *tracer {
	return &tracer{log: log, enabled: log.Enabled(context.Background(), slog.LevelDebug), dir: dir}
}

func (t *tracer) accepted(m *Message) {
	if t.enabled {
		t.log.Debug("message accepted", "id", m.ID, "class", m.Class, "dest", m.Dest, "deadline_us", m.Deadline)
	}
}

// repeated is a message that was handed in under an id that is known.
func (t *tracer) repeated(id string) {
	if t.enabled {
		t.log.Debug("message repeated", "id", id)
	}
}

// turnedAway is a message that was refused before the module saw it.
func (t *tracer) turnedAway(id string, open, most int) {
	if t.enabled {
		t.log.Debug("message turned away", "id", id, "open", open, "max_open", most)
	}
}

// answered is a message that the module ended in the step in which it came.
func (t *tracer) answered(id, answer string) {
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
		t.log.Debug("send", "id", c.id, "attempt", c.attempt, "endpoint", t.dir.Name(c.ep), "dest", c.dest,
			"generation", generation, "kept", c.kept != nil, "give_up", c.giveUp.String())
	}
}

// withheld is an attempt that had connected and was not written.
func (t *tracer) withheld(c *call) {
	if t.enabled {
		t.log.Debug("send withheld", "id", c.id, "attempt", c.attempt, "endpoint", t.dir.Name(c.ep))
	}
}

func (t *tracer) cancelled(a logic.Cancel) {
	if t.enabled {
		t.log.Debug("send cancelled", "id", a.ID, "attempt", a.Attempt)
	}
}

func (t *tracer) outcome(ev replyEvent) {
	if t.enabled {
		t.log.Debug("send ended", "id", ev.call.id, "attempt", ev.call.attempt, "endpoint", t.dir.Name(ev.call.ep),
			"outcome", ev.result.outcome.String(), "took", ev.took.String(), "wait", ev.result.wait.String(), "over", ev.result.over)
	}
}
