package standin

import (
	"bytes"
	"io"
	"time"
)

// FaultKind says how discovery misbehaves during a [Fault].
type FaultKind int

// The kinds of faults; Healthy is none.
const (
	Healthy       FaultKind = iota
	Refuse                  // connections are refused
	Reset                   // the connection is reset when a request arrives
	Unresponsive            // no request is answered, nor are open watches
	InvalidList             // status 200 with a body that is no list
	Overload                // status 503
	TruncatedList           // the connection breaks after half of the whole list
	OlderList               // a whole list of an older generation
	EndlessList             // a list that does not end
	Delayed                 // the answer is delayed
)

func (k FaultKind) String() string {
	return [...]string{"healthy", "refuse", "reset", "silent", "nonsense", "503", "cut", "older", "endless", "late"}[k]
}

// Fault is a misbehaviour of discovery from From until To, both measured from the start of the stand-in. Where several
// faults are active, the last one of those given to SetFaults applies.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration
	Delay    time.Duration // of an answer, if Kind is Delayed
}

// SetFaults replaces the faults.
func (d *Discovery) SetFaults(faults ...Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// SetAnswerDelay delays each regular answer with a list from now on, whatever fault is active; 0 for none.
func (d *Discovery) SetAnswerDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answerDelay = delay
}

func (d *Discovery) currentAnswerDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answerDelay
}

// SetFaultNow replaces the faults by one that begins at once and does not end; Healthy ends all faults.
func (d *Discovery) SetFaultNow(kind FaultKind, delay time.Duration) {
	d.SetFaults(Fault{Kind: kind, From: time.Since(d.start), To: 1 << 62, Delay: delay})
	if kind == Refuse { // like a process that has died
		d.ResetConnections()
	}
}

func (d *Discovery) currentFaultKind() FaultKind { return d.currentFault().Kind }

func (d *Discovery) currentFault() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	elapsed := time.Since(d.start)
	for i := len(d.faults) - 1; i >= 0; i-- {
		if f := d.faults[i]; elapsed >= f.From && elapsed < f.To {
			return f
		}
	}
	return Fault{}
}

// applyFault answers a request as the active fault demands. With done the request is finished. A fault that only delays
// the answer applies when beforeAnswer is set, which is right before a regular answer.
func (d *Discovery) applyFault(sc *senderConn, beforeAnswer bool) (done bool, err error) {
	if beforeAnswer {
		time.Sleep(d.currentAnswerDelay())
	}
	f := d.currentFault()
	switch f.Kind {
	case Refuse, Reset:
		return true, io.ErrClosedPipe
	case Unresponsive:
		return true, errUnresponsive
	case InvalidList:
		return true, sc.writeResponse("200 OK", "text/html", []byte("<html><body>It works!</body></html>\n"))
	case Overload:
		return true, sc.writeResponse("503 Service Unavailable", "", nil)
	case TruncatedList:
		list := d.encodedList()
		d.countTraffic(sc.sender, func(c *Traffic) { c.WholeLists++ })
		var b bytes.Buffer
		writeResponseHead(&b, len(list))
		b.Write(list[:len(list)/2])
		if err := sc.writePaced(b.Bytes()); err != nil {
			return true, err
		}
		return true, io.ErrClosedPipe
	case OlderList:
		d.encodedList()
		return true, sc.writeResponse("200 OK", "application/json", d.olderList)
	case EndlessList:
		return true, d.writeEndlessList(sc)
	case Delayed:
		if beforeAnswer {
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

// writeEndlessList sends new entries until the sender closes the connection, at 64 MB a second at most.
func (d *Discovery) writeEndlessList(sc *senderConn) error {
	var b bytes.Buffer
	writeResponseHead(&b, -1)
	b.Write(appendListHead(nil, d.Generation()+1, true))
	d.countTraffic(sc.sender, func(c *Traffic) { c.WholeLists++ })
	for i := 0; ; {
		for b.Len() < writeChunkBytes {
			r := Row{ID: "endless-" + time.Duration(i).String(), HostPort: "10.255.0.1:1", Zone: "a", MachineType: "std",
				Destination: 1, Lifecycle: "up", Weight: 1}
			b.Write(append(r.appendJSON(nil), ','))
			i++
		}
		if err := sc.writePaced(b.Bytes()); err != nil {
			return err
		}
		b.Reset()
		time.Sleep(time.Millisecond)
	}
}

// writeResponseHead writes the head of an answer with a body of size bytes; with -1 the body ends with the connection.
func writeResponseHead(b *bytes.Buffer, size int) {
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	if size >= 0 {
		b.WriteString("Content-Length: " + itoa(size) + "\r\n\r\n")
		return
	}
	b.WriteString("Connection: close\r\n\r\n")
}
