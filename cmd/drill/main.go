// Command drill runs instances of the decision logic for the simulator: it reads frames of events from standard input and
// writes one reply to each to standard output. Instances share no state.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"crossdeal/internal/wire"
	"crossdeal/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instanceEvents holds the events of one instance in the current frame.
type instanceEvents struct {
	instance int
	sender   *logic.Sender
	events   []logic.Event
}

// run answers frames until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder, writer := wire.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	senders := map[int]*logic.Sender{}
	for {
		frame, err := decoder.Next()
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		groups, err := groupByInstance(frame, senders)
		if err != nil {
			return err
		}
		var reply []byte
		for _, group := range groups {
			for _, action := range group.sender.Step(frame.Clock, group.events) {
				reply = wire.AppendAction(reply, group.instance, action)
			}
		}
		reply = append(reply, "eor "+frame.Seq+"\n"...)
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// groupByInstance starts and stops instances as the frame requires, and groups its events by instance, in the order in
// which the instances first appear. Instances that are not running at the end of the frame are left out.
func groupByInstance(frame *wire.Frame, senders map[int]*logic.Sender) ([]*instanceEvents, error) {
	var groups []*instanceEvents
	byInstance := map[int]*instanceEvents{}
	for _, item := range frame.Items {
		switch {
		case item.Create != nil:
			sender, err := logic.New(item.Create.Settings, item.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", item.Instance, err)
			}
			senders[item.Instance] = sender
			group := byInstance[item.Instance]
			if group == nil {
				group = &instanceEvents{instance: item.Instance}
				byInstance[item.Instance] = group
				groups = append(groups, group)
			}
			group.sender, group.events = sender, nil
		case item.Halt:
			delete(senders, item.Instance)
			if group := byInstance[item.Instance]; group != nil {
				group.sender = nil
			}
		case senders[item.Instance] == nil:
			// The instance is not running: the event is dropped.
		default:
			group := byInstance[item.Instance]
			if group == nil {
				group = &instanceEvents{instance: item.Instance, sender: senders[item.Instance]}
				byInstance[item.Instance] = group
				groups = append(groups, group)
			}
			if item.Event != nil {
				group.events = append(group.events, item.Event)
			}
		}
	}
	live := groups[:0]
	for _, group := range groups {
		if group.sender != nil {
			live = append(live, group)
		}
	}
	return live, nil
}
