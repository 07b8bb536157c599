package main

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"ravensill/internal/mail"
)

// The quota holds across gateways: what one admits, the other hears of and denies. Strangers are not heard.
func TestPeers(t *testing.T) {
	h := newHost(t, func([]string) string { return passed("v") })
	var ends [2]*net.UDPConn // ends[i] stands for gateway i to its peer
	var addrs []string
	for i := range ends {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ends[i], addrs = c, append(addrs, c.LocalAddr().String())
	}
	var w [2]*world
	for i := range w {
		w[i] = start(t, func(cfg, settings map[string]any) {
			settings["balancers"], settings["position"] = 2, i
			cfg["peer_listen"], cfg["peers"] = "127.0.0.1:0", addrs
		}, h)
	}
	far, _ := net.ResolveUDPAddr("udp4", w[1].peer)
	told := make(chan struct{}, 99)
	go func() { // from 0 to 1; nothing goes back
		buf := make([]byte, 300)
		for {
			n, err := ends[1].Read(buf)
			if err != nil {
				return
			}
			ends[0].WriteToUDP(buf[:n], far)
			mail.Read(buf[:n], 1, 2, func(uint64, uint64) bool { return true }, func(uint16) {},
				func(_ uint32, _, _, _ int, total, _ uint64) {
					if total == 8*16 { // all of it, in parts of a unit
						told <- struct{}{}
					}
				})
		}
	}()
	spread := func(cmd string) string { return strings.Replace(cmd, "spread=1", "spread=2", 1) }
	c := w[0].client()
	for range 8 {
		if a := c.ask(spread(call("lookup", 5))); a != "v" {
			t.Fatal(a)
		}
	}
	take(w[0], told)
	stranger, err := net.Dial("udp4", w[1].peer)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write(mail.Head(1, 1, nil)) // sound, but from nowhere known
	ends[0].WriteToUDP([]byte("hello"), far)
	for n, all := 0, 0; all < 2; all += n {
		l := w[1].line("event=datagrams_dropped")
		fmt.Sscanf(l[strings.Index(l, "count="):], "count=%d", &n)
	}
	if a := w[1].client().ask(spread(call("lookup", 5))); !strings.HasPrefix(a, "-BUSY") {
		t.Errorf("spent at the peer, yet %s", a)
	}
}
