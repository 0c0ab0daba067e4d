// Package wire reads and writes the line protocol by which the simulator drives instances of the decision logic: it
// decodes frames of events and encodes actions. It takes no decisions.
package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"crossdeal/logic"
)

// Item is one event of a frame and the instance that it is for. At most one of Create, Halt and Event is set.
type Item struct {
	Instance int
	Create   *Create
	Halt     bool
	Event    logic.Event
}

// Create starts an instance of the decision logic.
type Create struct {
	Seed     uint64
	Settings logic.Settings
}

// Frame is one batch of events that are handled at the same time.
type Frame struct {
	Clock logic.Micros
	Seq   string
	Items []Item
}

// Error describes where a frame is malformed.
type Error struct {
	Line    int
	Field   string
	Message string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Message)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Message)
}

// listCount is the number of list numbers that the protocol has.
const listCount = 16

// Decoder reads frames.
type Decoder struct {
	reader *bufio.Reader
	line   int
	lists  [listCount][]logic.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, 1<<16)}
}

// readLine returns the next line without its line end. It returns io.EOF only if the input ends before the first byte of
// a line.
func (d *Decoder) readLine() (string, error) {
	text, err := d.reader.ReadString('\n')
	if err == io.EOF && text != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimRight(text, "\r\n"), nil
}

// Next returns the next frame, or io.EOF when the input ends between two frames.
func (d *Decoder) Next() (*Frame, error) {
	text, err := d.readLine()
	for err == nil && text == "" {
		text, err = d.readLine()
	}
	if err != nil {
		return nil, err
	}
	parser := d.parser(text)
	if parser.name != "frame" {
		return nil, &Error{d.line, "", "expected a frame, got " + strconv.Quote(parser.name)}
	}
	frame := &Frame{Clock: parser.time("clock_s"), Seq: parser.word("round")}
	if _, err := strconv.ParseUint(frame.Seq, 10, 64); err != nil {
		parser.fail("round", "not a whole number")
	}
	if err := parser.finish(); err != nil {
		return nil, err
	}
	for {
		if text, err = d.readLine(); err == io.EOF {
			return nil, &Error{d.line + 1, "", "input ends inside a frame"}
		} else if err != nil {
			return nil, err
		}
		switch name, _, _ := strings.Cut(text, " "); name {
		case "":
			continue
		case "eob":
			return frame, nil
		case "register":
			err = d.readList(d.parser(text))
		default:
			var item Item
			if item, err = d.parseItem(d.parser(text)); err == nil {
				frame.Items = append(frame.Items, item)
			}
		}
		if err != nil {
			return nil, err
		}
	}
}

func (d *Decoder) readList(parser *lineParser) error {
	number, rows := parser.integer("set_id"), parser.integer("rows")
	if number < 0 || number >= listCount {
		parser.fail("set_id", "out of range")
	}
	if rows < 0 {
		parser.fail("rows", "negative")
	}
	if err := parser.finish(); err != nil {
		return err
	}
	var entries []logic.Entry
	for i := int64(0); i < rows; i++ {
		text, err := d.readLine()
		if err == io.EOF {
			return &Error{d.line + 1, "rows", "input ends inside a list"}
		} else if err != nil {
			return err
		}
		entryParser := d.parser(text)
		if entryParser.name != "entry" {
			return &Error{d.line, "", "expected an entry, got " + strconv.Quote(entryParser.name)}
		}
		entry := logic.Entry{Endpoint: entryParser.endpoint(), Zone: int(entryParser.integer("zone")), Kind: int(entryParser.integer("kind")),
			Destination: entryParser.integer("cell"), State: entryParser.readiness(), Nominal: entryParser.number("nominal")}
		entryParser.time("born_s")
		if err := entryParser.finish(); err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	d.lists[number] = entries
	return nil
}

func (d *Decoder) parseItem(parser *lineParser) (Item, error) {
	item := Item{Instance: int(parser.integer("who"))}
	switch parser.name {
	case "create":
		create := &Create{Seed: parser.seed("random_seed")}
		text := parser.takeRest()
		if parser.err != nil {
			return item, parser.err
		}
		settings, err := ParseSettings([]byte(text))
		if err != nil {
			return item, &Error{d.line, "setup", err.Error()}
		}
		create.Settings = settings
		item.Create = create
		return item, nil
	case "halt":
		item.Halt = true
	case "endpoints":
		item.Event = d.parseEndpoints(parser)
	case "call":
		item.Event = parseCall(parser)
	case "started":
		item.Event = logic.StreamStarted{ID: parser.word("req"), Attempt: int(parser.integer("copy"))}
		parser.endpoint()
		parser.time("time_taken_s")
	case "reply":
		item.Event = parseReply(parser)
	case "client_gone":
		item.Event = logic.ClientGone{ID: parser.word("req")}
	case "due":
		item.Event = logic.TimerExpired{Token: parser.token("ctx")}
	case "health_result":
		outcome := parser.outcome()
		parser.time("time_taken_s")
		item.Event = logic.HealthResult{Outcome: outcome, Endpoint: parser.endpoint(), Load: parser.load()}
	case "peer":
		// The decision logic uses no messages between senders: the line is checked and dropped.
		parser.integer("neighbour")
		parser.word("msg")
		item.Event = nil
	default:
		return item, &Error{d.line, "", "unknown event " + strconv.Quote(parser.name)}
	}
	return item, parser.finish()
}

func (d *Decoder) parseEndpoints(parser *lineParser) logic.Event {
	form := parser.integer("form")
	parser.integer("stamp")
	if form < int64(logic.ListDelta) || form > int64(logic.ListRequestFailed) {
		parser.fail("form", "out of range")
		return nil
	}
	event := logic.ListUpdate{Form: logic.ListForm(form)}
	if event.Form == logic.ListRequestFailed {
		parser.word("set_id")
		return event
	}
	number := parser.integer("set_id")
	if number < 0 || number >= listCount {
		parser.fail("set_id", "out of range")
		return nil
	}
	event.Entries = d.lists[number]
	return event
}

func parseCall(parser *lineParser) logic.Event {
	c := logic.NewMessage{ID: parser.word("req")}
	parser.flag("repeat")
	c.TimeLeft = parser.time("grace_s")
	parser.flag("came_back")
	parser.number("expected_s")
	c.Key = parser.optional("key")
	parser.flag("is_write")
	c.Destination = parser.integer("to_exchange")
	c.Tenant = -1
	if word := parser.optional("realm"); word != "" {
		c.Tenant = int(parser.parseInteger("realm", word))
	}
	c.Class = int(parser.integer("category"))
	return c
}

func parseReply(parser *lineParser) logic.Event {
	r := logic.AttemptResult{ID: parser.word("req"), MessageEnded: parser.flag("no_more"), Endpoint: parser.endpoint(),
		Attempt: int(parser.integer("copy")), Outcome: parser.outcome(), Duration: parser.time("time_taken_s")}
	detail := int64(0)
	if word := parser.optional("detail"); word != "" {
		detail = parser.parseInteger("detail", word)
	}
	if r.Outcome == logic.Rejected && detail > 0 {
		r.RetryAfter = logic.Micros(detail) * logic.Second / 1000
	}
	r.Load = parser.load()
	return r
}

// lineParser reads the values of one line in order and keeps the first error.
type lineParser struct {
	name, rest string
	line       int
	err        error
}

func (d *Decoder) parser(text string) *lineParser {
	name, rest, _ := strings.Cut(text, " ")
	return &lineParser{name: name, rest: rest, line: d.line}
}

func (p *lineParser) fail(field, message string) {
	if p.err == nil {
		p.err = &Error{p.line, field, message}
	}
}

func (p *lineParser) finish() error {
	if p.err == nil && p.rest != "" {
		p.fail("", "more values than "+p.name+" takes")
	}
	return p.err
}

func (p *lineParser) takeRest() string {
	rest := p.rest
	p.rest = ""
	return rest
}

func (p *lineParser) word(field string) string {
	word, rest, _ := strings.Cut(p.rest, " ")
	p.rest = rest
	if word == "" {
		p.fail(field, "missing")
	}
	return word
}

// optional reads a word that may be absent, which is written as -. It returns an empty string then.
func (p *lineParser) optional(field string) string {
	word := p.word(field)
	if word == "-" {
		return ""
	}
	return word
}

func (p *lineParser) parseInteger(field, word string) int64 {
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		// A whole number may be written as a decimal number with a fraction of zero.
		x, floatErr := strconv.ParseFloat(word, 64)
		if floatErr != nil || x != float64(int64(x)) {
			p.fail(field, "not a whole number: "+strconv.Quote(word))
		}
		n = int64(x)
	}
	return n
}

func (p *lineParser) integer(field string) int64 { return p.parseInteger(field, p.word(field)) }

func (p *lineParser) token(field string) uint64 {
	n, err := strconv.ParseUint(p.word(field), 10, 64)
	if err != nil {
		p.fail(field, "not a token")
	}
	return n
}

func (p *lineParser) seed(field string) uint64 {
	word := p.word(field)
	if n, err := strconv.ParseInt(word, 10, 64); err == nil {
		return uint64(n)
	}
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		p.fail(field, "not a whole number: "+strconv.Quote(word))
	}
	return n
}

func (p *lineParser) endpoint() logic.EndpointID {
	n := p.integer("endpoint")
	if n < 0 || n > 1<<32-1 {
		p.fail("endpoint", "out of range")
	}
	return logic.EndpointID(n)
}

func (p *lineParser) flag(field string) bool {
	word := p.word(field)
	if word != "0" && word != "1" && word != "-" {
		p.fail(field, "not 0 or 1: "+strconv.Quote(word))
	}
	return word == "1"
}

func (p *lineParser) number(field string) float64 {
	word := p.optional(field)
	if word == "" {
		return 0
	}
	x, err := strconv.ParseFloat(word, 64)
	if err != nil || x-x != 0 {
		p.fail(field, "not a number: "+strconv.Quote(word))
		return 0
	}
	return x
}

func (p *lineParser) time(field string) logic.Micros {
	word := p.optional(field)
	if word == "" {
		return 0
	}
	t, err := ParseTime(word)
	if err != nil {
		p.fail(field, err.Error())
	}
	return t
}

func (p *lineParser) load() []float64 {
	word := p.optional("pressure")
	if word == "" {
		return nil
	}
	var values []float64
	for _, part := range strings.Split(word, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil || x-x != 0 {
			p.fail("pressure", "not a number: "+strconv.Quote(part))
			return nil
		}
		values = append(values, x)
	}
	return values
}

func (p *lineParser) outcome() logic.Outcome {
	word := p.word("reason")
	for i, name := range outcomeNames {
		if word == name {
			return logic.Outcome(i)
		}
	}
	p.fail("reason", "unknown outcome "+strconv.Quote(word))
	return 0
}

// outcomeNames are the names of the outcomes in the protocol. Some differ from those in logs.
var outcomeNames = [...]string{logic.Completed: "completed", logic.Errored: "errored", logic.Rejected: "saturated",
	logic.TimedOut: "overdue", logic.ConnRefused: "refused_conn", logic.ConnBroken: "severed",
	logic.Cancelled: "recalled", logic.NotSent: "superseded"}

func (p *lineParser) readiness() logic.EndpointState {
	switch n := p.integer("readiness"); n {
	case 0:
		return logic.Ready
	case 3:
		return logic.Draining
	case 1:
		return logic.Removed
	default:
		p.fail("readiness", fmt.Sprintf("unknown state %d", n))
		return logic.Removed
	}
}

// ParseTime reads a number of seconds as whole microseconds. It converts a decimal number exactly, dropping digits
// beyond microseconds, and rounds a number with an exponent.
func ParseTime(text string) (logic.Micros, error) {
	body, negative := strings.CutPrefix(text, "-")
	whole, fraction, _ := strings.Cut(body, ".")
	if strings.ContainsAny(body, "eE") {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds-seconds != 0 || seconds > 1e12 || seconds < -1e12 {
			return 0, fmt.Errorf("not a time: %q", text)
		}
		if seconds < 0 {
			return -logic.Micros(-seconds*1e6 + 0.5), nil
		}
		return logic.Micros(seconds*1e6 + 0.5), nil
	}
	if len(fraction) > 6 {
		if strings.Trim(fraction[6:], "0123456789") != "" {
			return 0, fmt.Errorf("not a time: %q", text)
		}
		fraction = fraction[:6]
	}
	digits := whole + fraction + "000000"[len(fraction):]
	micros, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || whole == "" {
		return 0, fmt.Errorf("not a time: %q", text)
	}
	if negative {
		return -logic.Micros(micros), nil
	}
	return logic.Micros(micros), nil
}

// AppendTime appends whole microseconds as a decimal number of seconds, without rounding or trailing zeros.
func AppendTime(b []byte, t logic.Micros) []byte {
	if t < 0 {
		b = append(b, '-')
		t = -t
	}
	b = strconv.AppendInt(b, int64(t/logic.Second), 10)
	fraction := int64(t % logic.Second)
	if fraction == 0 {
		return b
	}
	return append(b, strings.TrimRight(fmt.Sprintf(".%06d", fraction), "0")...)
}

// AppendAction appends one action of an instance as a line.
func AppendAction(b []byte, instance int, a logic.Action) []byte {
	number := strconv.Itoa(instance)
	switch a := a.(type) {
	case logic.CallOut:
		b = append(b, "call_out "+number+" "+a.ID+" "...)
		b = AppendTime(b, a.GiveUp)
		b = append(b, ' ')
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.Cancel:
		b = append(b, "stop_attempt "+number+" "+a.ID+" "+strconv.Itoa(a.Attempt)...)
	case logic.Refuse:
		b = append(b, "say_no "+number+" "+a.ID+" "...)
		if a.RetryIn > 0 {
			b = AppendTime(b, a.RetryIn)
		} else {
			b = append(b, '-')
		}
	case logic.Fail:
		b = append(b, "surrender "+number+" "+a.ID...)
	case logic.SetTimer:
		b = append(b, "notify_me "+number+" "...)
		b = AppendTime(b, a.Wait)
		b = append(b, ' ')
		b = strconv.AppendUint(b, a.Token, 10)
	case logic.Probe:
		b = append(b, "sample "+number+" "...)
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.Release:
		b = append(b, "release "+number+" "...)
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.Listen:
		b = append(b, "listen "+number+" 1"...)
	case logic.Log:
		b = append(b, "journal_line "+number+" "+strings.ReplaceAll(a.Text, "\n", " ")...)
	}
	return append(b, '\n')
}
