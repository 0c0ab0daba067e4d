package standin

import (
	"bytes"
	"io"
	"time"
)

// Trouble is what is wrong with discovery for a while.
type Trouble int

// Troubles. Healthy is none.
const (
	Healthy  Trouble = iota
	Refuse           // connections are refused
	Reset            // a connection breaks once the request has come
	Silent           // nothing is answered any more, also not on watches that are open
	Nonsense         // 200 with a text that is no list
	Overload         // 503
	Cut              // the whole list breaks off half way
	Older            // a whole list of an older version
	Endless          // a list that does not end
	Late             // the answer comes later
)

func (t Trouble) String() string {
	return [...]string{"healthy", "refuse", "reset", "silent", "nonsense", "503", "cut", "older", "endless", "late"}[t]
}

// Fault is a trouble from some time on after the start, for a while. Where several are due the last one counts.
type Fault struct {
	Trouble  Trouble
	From, To time.Duration
	By       time.Duration // Late: by so much
}

// Script sets the faults of a day; it may be called again.
func (d *Discovery) Script(faults ...Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// Now sets one trouble from now on; Healthy ends all.
func (d *Discovery) Now(t Trouble, by time.Duration) {
	d.Script(Fault{Trouble: t, From: time.Since(d.start), To: 1 << 62, By: by})
	if t == Refuse { // a process that has died
		d.Break()
	}
}

func (d *Discovery) fault() Trouble { return d.due().Trouble }

func (d *Discovery) due() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Since(d.start)
	for i := len(d.faults) - 1; i >= 0; i-- {
		if f := d.faults[i]; at >= f.From && at < f.To {
			return f
		}
	}
	return Fault{}
}

// spoil answers as the trouble of the moment has it; done says that the call is over. One that is only late is so when
// it would be answered.
func (d *Discovery) spoil(p *peer, answered bool) (done bool, err error) {
	f := d.due()
	switch f.Trouble {
	case Refuse, Reset:
		return true, io.ErrClosedPipe
	case Silent:
		return true, errSilent
	case Nonsense:
		return true, p.reply("200 OK", "text/html", []byte("<html><body>It works!</body></html>\n"))
	case Overload:
		return true, p.reply("503 Service Unavailable", "", nil)
	case Cut:
		text := d.wholeText()
		d.tally(p.sender, func(c *Count) { c.Whole++ })
		var b bytes.Buffer
		answerHead(&b, len(text))
		b.Write(text[:len(text)/2])
		if err := p.send(b.Bytes()); err != nil {
			return true, err
		}
		return true, io.ErrClosedPipe
	case Older:
		d.wholeText()
		return true, p.reply("200 OK", "application/json", d.old)
	case Endless:
		return true, d.endless(p)
	case Late:
		if answered {
			time.Sleep(f.By)
		}
	}
	return false, nil
}

func (d *Discovery) wholeText() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text()
}

// endless sends entries, each a new one, until the sender has had enough. A list comes at 64 MB a second at most.
func (d *Discovery) endless(p *peer) error {
	var b bytes.Buffer
	answerHead(&b, -1)
	b.Write(head(nil, d.Generation()+1, true))
	d.tally(p.sender, func(c *Count) { c.Whole++ })
	for i := 0; ; {
		for b.Len() < piece {
			r := Row{ID: "endless-" + time.Duration(i).String(), HostPort: "10.255.0.1:1", Zone: "a", Kind: "std", Dest: 1,
				Lifecycle: "up", Weight: 1}
			b.Write(append(r.append(nil), ','))
			i++
		}
		if err := p.send(b.Bytes()); err != nil {
			return err
		}
		b.Reset()
		time.Sleep(time.Millisecond)
	}
}

// answerHead begins an answer of so many bytes; with -1 it goes on until the connection ends.
func answerHead(b *bytes.Buffer, size int) {
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	if size >= 0 {
		b.WriteString("Content-Length: " + itoa(size) + "\r\n\r\n")
		return
	}
	b.WriteString("Connection: close\r\n\r\n")
}
