// Command faultygateway is the gateway of cmd/ravensill on a system whose calls fail by chance, for lab/fleet. The
// environment variable FAULT_SEED is the seed, in decimal.
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

// rates are those of a machine that is short of everything now and then, with a network that moves bytes in small
// pieces.
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
		log.Fatalf("FAULT_SEED: %v", err)
	}
	program.Main(node.Platform{Sockets: socketstest.New(seed, rates)})
}
