// Package logic holds the decision logic of one message sender. The sender delivers messages by calls to
// endpoints that it does not control. The package decides which message goes to which endpoint and when,
// which attempts to cancel, and when a message ends undelivered.
//
// A caller makes a [Sender] with [New] and passes what happened, in order, to [Sender.Step], which
// returns the actions to take, in order. The package has no clock, does no I/O, starts no goroutines and
// keeps no global state. A Sender is not safe for concurrent use: only one goroutine at a time may call
// Step.
//
// The caller guarantees:
//   - Events arrive in the order in which they happened.
//   - Time does not go back; a time before the last one counts as the last one.
//   - Each [CallOut] is answered by exactly one [AttemptResult], each [Probe] by exactly one
//     [HealthResult].
//   - When a [SetTimer] has run out, Step is called with a [TimerExpired]. If that call is late, the
//     Sender only decides late.
//
// The Sender guarantees:
//   - Each message ends exactly once and in time, by the AttemptResult with MessageEnded, by a [Refuse]
//     or by a [Fail]. Nothing is sent for it after that.
//   - Nothing goes to an endpoint that is draining, removed or banned, as far as this sender knows.
//   - Nothing goes to an endpoint before the retry-after time that it named.
//   - A message has one attempt at a time and at most Settings.MaxTries attempts. It is repeated only as
//     its [Effect] allows.
//   - Messages of one order key are sent in order, and a key rests after an attempt whose end is not
//     certain.
//   - No more than Settings.Slots calls are in flight.
//   - What goes to a destination after an outage stays within this sender's share of what would overload
//     it.
//   - The same events with the same seed give the same actions.
//
// Events for unknown messages, endpoints or timers are ignored.
package logic

// Micros is a point in time or a span in whole microseconds. The zero point of the caller's clock is
// arbitrary.
type Micros int64

// Second is one second.
const Second Micros = 1_000_000

// Effect says what a repeated delivery of a message does at the destination.
type Effect int

// The effects.
const (
	Safe   Effect = iota // may be repeated without limit
	Keyed                // the destination drops repeats within Class.Window
	Unsafe               // must not take effect twice: not repeated once an attempt may have run
)

// Class describes one class of messages.
type Class struct {
	Name      string
	Aim       Micros  // delivered within this time, a message earns its full worth
	Deadline  Micros  // how long a message may be delivered at all
	Worth     float64 // what a message delivered within Aim is worth, relative to other classes
	LateWorth float64 // share of Worth that is left at the deadline
	Effect    Effect
	ByZone    bool   // Keyed: only endpoints of one zone drop repeats of each other
	Window    Micros // Keyed: how long repeats are dropped, from the first send that may have run
	KeepOrder bool   // messages with the same order key are sent one at a time, in order of arrival
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Name     string
	QuotaRPS float64 // messages a second inside its share, over all senders; 0 for no quota
}

// WeightsMode says what Entry.Nominal holds.
type WeightsMode int

// The modes.
const (
	WeightsOff     WeightsMode = iota // nothing
	WeightsNominal                    // the destination's rate limit in calls a second, all senders together
	WeightsRough                      // the same, up to half too high or too low
)

// Settings describe a deployment. They do not change while a Sender lives.
type Settings struct {
	Senders       int // senders that share the destinations, this one included
	Zone          int // this sender's zone, 0 to Zones-1
	Zones         int // zones of the deployment; 0 counts as 1
	Classes       []Class
	Tenants       []Tenant // may be empty
	Kinds         []Kind
	Slots         int    // calls in flight at most
	MaxOpen       int    // messages held at once; 0 for no limit
	MaxTries      int    // attempts for one message; 0 for no limit
	Tick          Micros // granularity of time: no timer is set for less, and deadlines keep a margin of it
	ListOnRequest bool   // the endpoint list arrives only after a Listen
	// An agent on this machine keeps the list and passes it on. What the agent has received counts as known to
	// the sender.
	ListPushed  bool
	MayProbe    bool // Probe is allowed
	MayCancel   bool // Cancel is allowed
	AdviseRetry bool // Refuse tells the client when to retry
	WorthHalves bool // past Aim, worth halves with each further Aim; else it falls linearly to the deadline
	Weights     WeightsMode

	ConnIdle  Micros  // idle connections are closed after this time
	ConnCalls int     // calls that one connection carries at once
	ConnPrice float64 // charge, in points, if each message opens a new connection

	MaxRetryAfter  Micros  // the longest retry delay that clients observe
	OverShareWorth float64 // share of its worth that a message over its tenant's quota keeps, 0 to 1

	// How long calls to an endpoint are still allowed after the notice that it drains or is removed.
	DrainGrace Micros
	// If the list was confirmed longer ago than this, sends wait for an update for a limited time; 0 for no such
	// limit.
	MaxListAge Micros
	// The same while discovery answers, though not with an update: then sends wait for as long as it does.
	MaxAnsweredListAge Micros

	// After an outage a destination recovers: its capacity rises linearly from ColdFrom times its whole capacity
	// to all of it, over WarmAfter. It is overloaded by more than FallMultiple times its current capacity during
	// FallWindow.
	FallMultiple float64
	FallWindow   Micros
	ColdFrom     float64
	WarmAfter    Micros
	KeyQuiet     Micros // how long an order key rests after an attempt whose end is not certain

	LimitLeftIndex int // index in AttemptResult.Load of the unused share of the rate limit; -1 if none
	LimitIndex     int // index in AttemptResult.Load of the rate limit in calls a second; -1 if none
}

// Kind is a kind of destination.
type Kind struct {
	Name string
	// Each endpoint is a route of its own: it has its own rate limit, pace and outages. Otherwise the endpoints
	// of a destination share them.
	SeparateRoutes bool
	Batch          int // messages in one call at most; 0 and 1 both mean one
}

// EndpointID identifies an endpoint. Its value has no further meaning.
type EndpointID uint32

// EndpointState is the state of an endpoint on the endpoint list. It says nothing about the endpoint's
// health.
type EndpointState uint8

// The states.
const (
	Ready    EndpointState = iota // may be sent to
	Draining                      // gets no new calls; running ones finish
	Removed                       // no longer on the list
)

// Entry is one entry of the endpoint list.
type Entry struct {
	Endpoint    EndpointID
	State       EndpointState
	Zone        int
	Kind        int // index in Settings.Kinds
	Destination int64
	Nominal     float64 // calls a second, read as Settings.Weights says; 0 if not known
}

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// ListForm says how a ListUpdate is to be read.
type ListForm int

// The forms of a list update.
const (
	ListDelta          ListForm = iota // changes only
	ListWhole                          // the whole list; endpoints that are not on it are removed
	ListSaved                          // the whole list as saved before the start; it may be out of date
	ListRequestFailed                  // a request for the list failed, or a watch ended; the list stays in use
	ListAnswerBegun                    // an answer has begun to arrive and will take some time
	ListAnswerUnusable                 // an answer arrived that cannot be used; the caller requests it again
	// The list is as it was, and a watch is open: changes arrive as they happen.
	ListWatchOpen
)

// ListUpdate is an update of the endpoint list, or the result of a request for it.
type ListUpdate struct {
	Form         ListForm
	Entries      []Entry
	Stale        bool // ListSaved: changes may have been missed; an update with them is on its way
	Unresponsive bool // ListRequestFailed: there was no answer at all
	Rejected     bool // ListRequestFailed: discovery answered that it cannot serve the request
	NotSent      bool // ListRequestFailed: this host could not send the request
	// The answer came after its request had been reported as failed. Later requests may be under way.
	Late bool
	// How long ago the list was certain to be up to date, with this update or without an answer. Changes
	// made since then may be missing.
	Age Micros
}

// NewMessage is a new message, or one that this sender held before a restart.
type NewMessage struct {
	ID          string
	TimeLeft    Micros // how long it may still be delivered
	Key         string // order key; empty if none
	Destination int64
	Tenant      int // index in Settings.Tenants; -1 if none
	Class       int // index in Settings.Classes
	Prior       PriorAttempts
}

// PriorAttempts says what happened to a message before a restart. The zero value is that of a new
// message.
type PriorAttempts struct {
	Recovered      bool   // accepted before a restart and found in the journal after it
	Tries          int    // attempts made
	MayHaveRun     bool   // at least one of them may have run
	SinceFirstSend Micros // time since the first attempt that may have run was sent
	Zone           int    // zone of that attempt's endpoint
}

// Stopping says that the sender stops in TimeLeft. Calls that cannot finish by then are not started.
type Stopping struct{ TimeLeft Micros }

// Ban says that an operator has banned an endpoint. Nothing is sent to it until the Unban, whatever the
// list says. The endpoint need not be listed.
type Ban struct{ Endpoint EndpointID }

// Unban ends a Ban. The endpoint then counts as recovering, as it may have been restarted meanwhile.
type Unban struct{ Endpoint EndpointID }

// DiscoveryMoved says that discovery has another address. What made list requests fail may be over.
type DiscoveryMoved struct{}

// StreamStarted says that the answer to an attempt has begun to stream to the client. The attempt can
// neither be cancelled nor retried from then on.
type StreamStarted struct {
	ID      string
	Attempt int
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes. Rejected, ConnRefused and NotSent prove that the attempt did not run.
const (
	Completed   Outcome = iota // delivered
	Errored                    // answered with an error
	Rejected                   // rejected by the endpoint before it looked at the message
	TimedOut                   // no answer within CallOut.GiveUp
	ConnRefused                // no connection could be made
	ConnBroken                 // the connection broke
	Cancelled                  // ended by a Cancel
	NotSent                    // never sent: no slot free, message over, or too many attempts
)

// outcomeNames are the names of the outcomes in logs.
var outcomeNames = [...]string{Completed: "completed", Errored: "errored", Rejected: "full",
	TimedOut:    "overdue",
	ConnRefused: "refused_conn", ConnBroken: "severed", Cancelled: "recalled", NotSent: "moot"}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	if o >= 0 && int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// AttemptResult is the result of an attempt. There is exactly one for each CallOut.
type AttemptResult struct {
	ID           string
	MessageEnded bool // the message has ended with this attempt
	Endpoint     EndpointID
	Attempt      int // 0 for the message's first attempt
	Outcome      Outcome
	Duration     Micros    // time from the send to the outcome
	RetryAfter   Micros    // how long the endpoint asks to wait; 0 if it did not say
	Load         []float64 // load report of the endpoint, see Settings.LimitIndex; empty if none
}

// ClientGone says that the client has left: the message is not needed any more.
type ClientGone struct{ ID string }

// TimerExpired says that a timer has run out.
type TimerExpired struct{ Token uint64 }

// HealthResult is the result of a Probe. The Sender does not act on it.
type HealthResult struct {
	Endpoint EndpointID
	Outcome  Outcome
	Load     []float64
}

func (ListUpdate) isEvent()     {}
func (NewMessage) isEvent()     {}
func (StreamStarted) isEvent()  {}
func (AttemptResult) isEvent()  {}
func (ClientGone) isEvent()     {}
func (TimerExpired) isEvent()   {}
func (HealthResult) isEvent()   {}
func (Stopping) isEvent()       {}
func (Ban) isEvent()            {}
func (Unban) isEvent()          {}
func (DiscoveryMoved) isEvent() {}

// Action is something for the caller to do: one of the types below.
type Action interface{ isAction() }

// CallOut starts an attempt: it sends the message to an endpoint. The attempts of a message are numbered
// from 0 in order of their CallOuts. CallOuts of one Step to one endpoint travel as one call, up to the
// Batch of its kind.
type CallOut struct {
	ID       string
	GiveUp   Micros // without an answer within this time, the attempt ends as TimedOut
	Endpoint EndpointID
}

// Cancel cancels an attempt. Its AttemptResult still follows.
type Cancel struct {
	ID      string
	Attempt int
}

// Refuse ends a message undelivered. It has not run, so the client may safely send it again.
type Refuse struct {
	ID      string
	RetryIn Micros // when the client should retry; 0 for no advice
}

// Fail ends a message that may have taken effect, or that the client is not to send again although it
// did not run, since retries would use up a rate limit (see retryRejected).
type Fail struct{ ID string }

// SetTimer asks for a TimerExpired with this Token after Wait.
type SetTimer struct {
	Wait  Micros
	Token uint64
}

// Probe sends a health check to an endpoint. The Sender emits none.
type Probe struct{ Endpoint EndpointID }

// Release closes the idle connections to an endpoint.
type Release struct{ Endpoint EndpointID }

// Listen requests the endpoint list and its changes.
type Listen struct{}

// Log is a log line for the operators.
type Log struct{ Text string }

func (CallOut) isAction()  {}
func (Cancel) isAction()   {}
func (Refuse) isAction()   {}
func (Fail) isAction()     {}
func (SetTimer) isAction() {}
func (Probe) isAction()    {}
func (Release) isAction()  {}
func (Listen) isAction()   {}
func (Log) isAction()      {}
