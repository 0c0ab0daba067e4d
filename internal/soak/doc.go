// Package soak runs real senders on loopback under random faults that overlap in time, and judges what clients, endpoints
// and discovery saw by the rules of the protocol. A seed decides all that is random, but not how the machine schedules.
//
// World holds the processes and stand-ins of one run; Plan draws its faults; the judge reads the records afterwards.
package soak
