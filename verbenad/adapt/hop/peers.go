package hop

import (
	"context"
	"sync"

	"google.golang.org/grpc/peer"

	"verbenabank/verbenad/command/memory"
)

// WithMemory sets the budget for what requests of other daemons hold, by default an unlimited one.
func WithMemory(b *memory.Budget) ServerOption { return func(s *Server) { s.peers = newPeers(b) } }

// peers holds the share of the memory budget of each daemon that has requests in flight. It is safe for concurrent use.
type peers struct {
	memory *memory.Budget

	mu     sync.Mutex
	shares map[string]*peerShare // by address
}

type peerShare struct {
	share    *memory.Share
	inFlight int
}

func newPeers(b *memory.Budget) *peers { return &peers{memory: b, shares: map[string]*peerShare{}} }

// enter returns the share of the daemon that sent a request, and a function that ends the request.
func (p *peers) enter(ctx context.Context) (*memory.Share, func()) {
	address := ""
	if sender, ok := peer.FromContext(ctx); ok {
		address = sender.Addr.String()
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

func (p *peers) leave(address string, s *peerShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.inFlight--; s.inFlight == 0 {
		delete(p.shares, address)
	}
}
