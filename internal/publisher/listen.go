package publisher

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second // for the whole of a request
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// listen opens the listeners of followers and of the HTTP interface. Nobody is served yet.
func (p *Publisher) listen() (admin net.Listener, err error) {
	p.listener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(p.cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	admin, err = net.Listen("tcp4", p.cfg.AdminListen.String())
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
