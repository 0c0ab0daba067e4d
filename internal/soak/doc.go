// Package soak runs real sender processes on loopback under random, overlapping faults, and checks what clients,
// endpoints and discovery recorded against the rules of the protocol. The seed determines all random choices, but not
// how the machine schedules the processes.
//
// Harness holds the processes and stand-ins of one run, Plan draws the faults, and the checks read the records
// afterwards.
package soak
