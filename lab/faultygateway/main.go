// Command faultygateway is the gateway of cmd/ravensill with system calls that fail at random. Package lab/fleet uses
// it to test a fleet on machines that run out of resources. The environment variable FAULT_SEED holds the seed of the
// faults as a decimal number.
package main

import (
	"log"
	"os"
	"strconv"
	"syscall"

	"ravensill/internal/node"
	"ravensill/internal/program"
	"ravensill/internal/sockets/socketstest"
)

// rates are the probabilities and kinds of faults by system call. They imitate a machine that runs out of descriptors,
// ports, buffers and memory now and then, and a network that moves few bytes at a time.
var rates = map[socketstest.Call]socketstest.Rate{
	socketstest.Dial: {Probability: 0.05, Faults: []socketstest.Fault{
		{Errno: syscall.EADDRNOTAVAIL},
		{Errno: syscall.EMFILE},
		{Errno: syscall.ENFILE},
		{Errno: syscall.ENOBUFS},
		{Errno: syscall.ENOMEM},
		{Errno: syscall.ENETUNREACH},
	}},
	socketstest.Listen: {Probability: 0.5, Faults: []socketstest.Fault{
		{Errno: syscall.ENOBUFS},
		{Errno: syscall.EADDRNOTAVAIL},
	}},
	socketstest.Accept: {Probability: 0.05, Faults: []socketstest.Fault{
		{Errno: syscall.EMFILE},
		{Errno: syscall.ENFILE},
		{Errno: syscall.ENOBUFS},
		{Errno: syscall.ENOMEM},
	}},
	socketstest.ListenPacket: {Probability: 0.5, Faults: []socketstest.Fault{{Errno: syscall.ENFILE}}},
	socketstest.ReadPacket: {Probability: 0.02, Faults: []socketstest.Fault{
		{Errno: syscall.ENOBUFS},
		{Errno: syscall.ECONNREFUSED},
	}},
	socketstest.Read: {Probability: 0.2, Faults: []socketstest.Fault{
		{Errno: syscall.EINTR},
		{MaxBytes: 1},
		{MaxBytes: 7},
	}},
	socketstest.Write: {Probability: 0.2, Faults: []socketstest.Fault{
		{Errno: syscall.EINTR},
		{Errno: syscall.EAGAIN},
		{MaxBytes: 0},
		{MaxBytes: 1},
		{MaxBytes: 7},
	}},
}

func main() {
	seed, err := strconv.ParseUint(os.Getenv("FAULT_SEED"), 10, 64)
	if err != nil {
		log.Fatalf("reading the seed from FAULT_SEED: %v", err)
	}
	program.Main(node.Platform{Sockets: socketstest.New(seed, rates)})
}
