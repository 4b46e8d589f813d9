package jsonc

import (
	"net/netip"
	"slices"

	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/config"
)

const addressRule = `must be an IP number and a port such as "10.1.2.3:8090"`

func (l loader) addresses() []config.Option {
	r, ok := l.Object("listen")
	if !ok && !l.Has("listen") {
		l.AddFault("listen", "is missing; set callers, peers and admin in it")
		return nil
	}
	r.RejectUnknown("callers", "peers", "admin", "ready", "advertise")
	callers, ready := optional(r, "callers"), optional(r, "ready")
	peers, admin := listen(r, "peers"), listen(r, "admin")
	if peers.IsValid() && peers.Addr().IsUnspecified() {
		r.AddFault("peers", "must be an address that other processes can reach, not the unspecified one")
	}
	if peers.IsValid() && peers == callers {
		r.AddFault("peers", "is the same as listen.callers; use another port")
	}
	if admin.IsValid() && (admin == callers || admin == peers) {
		r.AddFault("admin", "is the same as another address of listen; use another port")
	}
	advertised := peers
	if r.Has("advertise") {
		advertised = listen(r, "advertise")
	}
	replicas := l.replicas(advertised.Port())
	listed := slices.Contains(replicas, advertised)
	if l.Has("control") && !l.Has("seeds") && !listed && len(replicas) > 0 {
		l.AddFault("control", "is set, so replicas must have the address of listen.peers; add it there or remove control")
	}
	if !l.Has("control") && listed {
		l.AddFault("replicas", "has the address of listen.peers, so control must be set; add control or remove the address")
	}
	return []config.Option{config.WithListen(callers, peers, admin), config.WithAdvertised(advertised), config.WithReplicas(replicas...), config.WithReadyAddress(ready)}
}

func listen(r jtree.Reader, field string) netip.AddrPort {
	address, err := netip.ParseAddrPort(r.String(field, ""))
	if err != nil || address.Port() == 0 {
		r.AddFault(field, addressRule)
		return netip.AddrPort{}
	}
	return address
}

func (l loader) replicas(port uint16) []netip.AddrPort {
	if l.Has("seeds") {
		return l.seeds(port)
	}
	texts := l.Strings("replicas", nil)
	if len(texts) == 0 {
		l.AddFault("replicas", "must have the peers address of each control replica")
	}
	replicas := make([]netip.AddrPort, 0, len(texts))
	for i, t := range texts {
		address, err := netip.ParseAddrPort(t)
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			l.AddItemFault("replicas", i, addressRule)
			continue
		}
		replicas = append(replicas, address)
	}
	return replicas
}

// seeds reads the addresses of instances that have control replicas. A replica may join a
// group that it is not listed in, and all replicas use the port of this daemon.
func (l loader) seeds(port uint16) []netip.AddrPort {
	if l.Has("replicas") {
		l.AddFault("seeds", "stands beside replicas; set one of them")
	}
	texts := l.Strings("seeds", nil)
	if len(texts) == 0 {
		l.AddFault("seeds", "must have the address of an instance with a control replica")
	}
	seeds := make([]netip.AddrPort, 0, len(texts))
	for i, t := range texts {
		address, err := netip.ParseAddrPort(t)
		if err != nil || address.Addr().IsUnspecified() {
			l.AddItemFault("seeds", i, addressRule)
			continue
		}
		seeds = append(seeds, netip.AddrPortFrom(address.Addr(), port))
	}
	return seeds
}

// optional reads an address that may be left out.
func optional(r jtree.Reader, field string) netip.AddrPort {
	if !r.Has(field) {
		return netip.AddrPort{}
	}
	return listen(r, field)
}
