package jsonc

import (
	"net/netip"
	"slices"

	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/config"
)

const addressFault = `must be an IP number and a port such as "10.1.2.3:8090"`

// addresses reads listen and replicas or seeds, and checks that they agree with each other and
// with control.
func (l loader) addresses() []config.Option {
	r, ok := l.Object("listen")
	if !ok && !l.Has("listen") {
		l.AddFault("listen", "is missing; set callers, peers and admin in it")
		return nil
	}
	r.RejectUnknown("callers", "peers", "admin", "ready", "advertise")
	callers, ready := parseOptionalAddress(r, "callers"), parseOptionalAddress(r, "ready")
	peers, admin := parseAddress(r, "peers"), parseAddress(r, "admin")
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
		advertised = parseAddress(r, "advertise")
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

// parseAddress reads an address with a port. It returns the zero value after a fault.
func parseAddress(r jtree.Reader, field string) netip.AddrPort {
	address, err := netip.ParseAddrPort(r.String(field, ""))
	if err != nil || address.Port() == 0 {
		r.AddFault(field, addressFault)
		return netip.AddrPort{}
	}
	return address
}

// replicas reads the addresses of the control replicas, from seeds if it is set. The port
// applies to seeds only.
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
			l.AddItemFault("replicas", i, addressFault)
			continue
		}
		replicas = append(replicas, address)
	}
	return replicas
}

// seeds reads the addresses of instances that run control replicas. With seeds, a replica may
// join a group whose list does not have its address. All replicas use the given port, that of
// this daemon's advertised address.
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
			l.AddItemFault("seeds", i, addressFault)
			continue
		}
		seeds = append(seeds, netip.AddrPortFrom(address.Addr(), port))
	}
	return seeds
}

// parseOptionalAddress reads an address; it returns the zero value if the field is missing.
func parseOptionalAddress(r jtree.Reader, field string) netip.AddrPort {
	if !r.Has(field) {
		return netip.AddrPort{}
	}
	return parseAddress(r, field)
}
