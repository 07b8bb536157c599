package publisher

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"ravensill/internal/sockets"
)

const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second // for the whole of a request
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	bindWait       = 5 * time.Second // for what this machine is short of when a listener is opened
)

// openListener opens a listener. It waits where the machine is short of something for it.
func (p *Publisher) openListener(address netip.AddrPort) (*sockets.Listener, error) {
	var listener *net.TCPListener
	err := sockets.RetryShortage(bindWait, func() (err error) {
		listener, err = p.system.Listen(address)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &sockets.Listener{TCPListener: listener, System: p.system}, nil
}

// listen opens the listeners of followers and of the HTTP interface. Nobody is served yet.
func (p *Publisher) listen() (admin net.Listener, err error) {
	p.listener, err = p.openListener(p.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	admin, err = p.openListener(p.cfg.AdminListen)
	if err != nil {
		p.listener.Close()
		return nil, fmt.Errorf("admin_listen: %w", err)
	}
	p.adminAddr = admin.Addr()
	p.admin = &http.Server{
		Handler:           p.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return admin, nil
}
