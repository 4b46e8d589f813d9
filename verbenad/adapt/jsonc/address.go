package jsonc

import (
	"net/netip"
	"slices"

	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/sets"
)

const addressRule = `must be an IP number and a port such as "10.1.2.3:8090"`

func (l loader) addresses() []sets.Option {
	r, ok := l.Object("listen")
	if !ok && !l.Has("listen") {
		l.Fault("listen", "is missing; set callers, peers and admin in it")
		return nil
	}
	r.Only("callers", "peers", "admin", "advertise")
	callers, peers, admin := listen(r, "callers"), listen(r, "peers"), listen(r, "admin")
	if peers.IsValid() && peers.Addr().IsUnspecified() {
		r.Fault("peers", "must be an address that other processes can reach, not the unspecified one")
	}
	if peers.IsValid() && peers == callers {
		r.Fault("peers", "is the same as listen.callers; use another port")
	}
	if admin.IsValid() && (admin == callers || admin == peers) {
		r.Fault("admin", "is the same as another address of listen; use another port")
	}
	advertised := peers
	if r.Has("advertise") {
		advertised = listen(r, "advertise")
	}
	replicas := l.replicas()
	listed := slices.Contains(replicas, advertised)
	if l.Has("control") && !listed && len(replicas) > 0 {
		l.Fault("control", "is set, so replicas must have the address of listen.peers; add it there or remove control")
	}
	if !l.Has("control") && listed {
		l.Fault("replicas", "has the address of listen.peers, so control must be set; add control or remove the address")
	}
	return []sets.Option{sets.WithListen(callers, peers, admin), sets.WithAdvertised(advertised), sets.WithReplicas(replicas...)}
}

func listen(r jtree.Reader, field string) netip.AddrPort {
	address, err := netip.ParseAddrPort(r.Text(field, ""))
	if err != nil || address.Port() == 0 {
		r.Fault(field, addressRule)
		return netip.AddrPort{}
	}
	return address
}

func (l loader) replicas() []netip.AddrPort {
	texts := l.Texts("replicas", nil)
	if len(texts) == 0 {
		l.Fault("replicas", "must have the peers address of each control replica")
	}
	replicas := make([]netip.AddrPort, 0, len(texts))
	for i, t := range texts {
		address, err := netip.ParseAddrPort(t)
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			l.Item("replicas", i, addressRule)
			continue
		}
		replicas = append(replicas, address)
	}
	return replicas
}
