package hop

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc/peer"

	"verbenabank/verbenad/command/memory"
)

// WithMemory sets the budget for what requests of other daemons hold, by default an unlimited one.
func WithMemory(b *memory.Budget) ServerOption { return func(s *Server) { s.peers = newPeers(b) } }

// peers holds the share of the memory budget of each daemon that has, or had, requests in flight. It is safe for concurrent use.
type peers struct {
	memory *memory.Budget

	mu     sync.Mutex
	shares map[*net.TCPAddr]*peerShare // by the address of the connection, one pointer for all its requests
}

type peerShare struct {
	share    *memory.Share
	inFlight int
}

// maxIdlePeers is the number of daemons up to which their shares are kept without requests in flight.
const maxIdlePeers = 1024

func newPeers(b *memory.Budget) *peers {
	return &peers{memory: b, shares: map[*net.TCPAddr]*peerShare{}}
}

// enter returns the share of the daemon that sent a request, and a function that ends the request.
func (p *peers) enter(ctx context.Context) (*memory.Share, func()) {
	var address *net.TCPAddr
	if sender, ok := peer.FromContext(ctx); ok {
		address, _ = sender.Addr.(*net.TCPAddr)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.shares[address]
	if !ok {
		s = &peerShare{share: p.memory.NewShare()}
		p.shares[address] = s
	}
	s.inFlight++
	return s.share, func() { p.leave(address, s) }
}

func (p *peers) leave(address *net.TCPAddr, s *peerShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.inFlight--; s.inFlight == 0 && len(p.shares) > maxIdlePeers {
		delete(p.shares, address)
	}
}
