package standin

import (
	"bytes"
	"io"
	"time"
)

// FaultKind is what is wrong with discovery for a while.
type FaultKind int

// Troubles. Healthy is none.
const (
	Healthy       FaultKind = iota
	Refuse                  // connections are refused
	Reset                   // a connection breaks once the request has come
	Unresponsive            // nothing is answered any more, also not on watches that are open
	InvalidList             // 200 with a text that is no list
	Overload                // 503
	TruncatedList           // the whole list breaks off half way
	OlderList               // a whole list of an older version
	EndlessList             // a list that does not end
	Delayed                 // the answer comes later
)

func (t FaultKind) String() string {
	return [...]string{"healthy", "refuse", "reset", "silent", "nonsense", "503", "cut", "older", "endless", "late"}[t]
}

// Fault is a trouble from some time on after the start, for a while. Where several are due the last one counts.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration
	Delay    time.Duration // Late: by so much
}

// SetFaults sets the faults of a day; it may be called again.
func (d *Discovery) SetFaults(faults ...Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// SetFaultNow sets one trouble from now on; Healthy ends all.
func (d *Discovery) SetFaultNow(t FaultKind, by time.Duration) {
	d.SetFaults(Fault{Kind: t, From: time.Since(d.start), To: 1 << 62, Delay: by})
	if t == Refuse { // a process that has died
		d.ResetConnections()
	}
}

func (d *Discovery) currentFaultKind() FaultKind { return d.currentFault().Kind }

func (d *Discovery) currentFault() Fault {
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

// applyFault answers as the trouble of the moment has it; done says that the call is over. One that is only late is so when
// it would be answered.
func (d *Discovery) applyFault(p *senderConn, answered bool) (done bool, err error) {
	f := d.currentFault()
	switch f.Kind {
	case Refuse, Reset:
		return true, io.ErrClosedPipe
	case Unresponsive:
		return true, errUnresponsive
	case InvalidList:
		return true, p.writeResponse("200 OK", "text/html", []byte("<html><body>It works!</body></html>\n"))
	case Overload:
		return true, p.writeResponse("503 Service Unavailable", "", nil)
	case TruncatedList:
		text := d.encodedList()
		d.countTraffic(p.sender, func(c *Traffic) { c.WholeLists++ })
		var b bytes.Buffer
		writeResponseHead(&b, len(text))
		b.Write(text[:len(text)/2])
		if err := p.writePaced(b.Bytes()); err != nil {
			return true, err
		}
		return true, io.ErrClosedPipe
	case OlderList:
		d.encodedList()
		return true, p.writeResponse("200 OK", "application/json", d.olderList)
	case EndlessList:
		return true, d.writeEndlessList(p)
	case Delayed:
		if answered {
			time.Sleep(f.Delay)
		}
	}
	return false, nil
}

func (d *Discovery) encodedList() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.encodedListLocked()
}

// writeEndlessList sends entries, each a new one, until the sender has had enough. A list comes at 64 MB a second at most.
func (d *Discovery) writeEndlessList(p *senderConn) error {
	var b bytes.Buffer
	writeResponseHead(&b, -1)
	b.Write(appendListHead(nil, d.Generation()+1, true))
	d.countTraffic(p.sender, func(c *Traffic) { c.WholeLists++ })
	for i := 0; ; {
		for b.Len() < writeChunkBytes {
			r := Row{ID: "endless-" + time.Duration(i).String(), HostPort: "10.255.0.1:1", Zone: "a", MachineType: "std", Destination: 1,
				Lifecycle: "up", Weight: 1}
			b.Write(append(r.appendJSON(nil), ','))
			i++
		}
		if err := p.writePaced(b.Bytes()); err != nil {
			return err
		}
		b.Reset()
		time.Sleep(time.Millisecond)
	}
}

// writeResponseHead begins an answer of so many bytes; with -1 it goes on until the connection ends.
func writeResponseHead(b *bytes.Buffer, size int) {
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	if size >= 0 {
		b.WriteString("Content-Length: " + itoa(size) + "\r\n\r\n")
		return
	}
	b.WriteString("Connection: close\r\n\r\n")
}
