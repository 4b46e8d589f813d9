package admin

import (
	"github.com/gofiber/fiber/v3"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// route responds with the shard and the owner of a key, according to this daemon's routing table.
func (a *Admin) route(c fiber.Ctx) error {
	name, key := c.Query("service"), c.Query("key")
	t := a.snapshots.Load().Table()
	s, ok := t.Rules().Service(name)
	if !ok {
		return sendError(c, fiber.StatusNotFound, "no service has this name")
	}
	k, ok := s.Kind().(rules.Keyed)
	if !ok {
		return sendError(c, fiber.StatusBadRequest, "the service is pooled: any of its targets may serve the key")
	}
	if key == "" {
		return sendError(c, fiber.StatusBadRequest, "the key is missing")
	}
	sh := t.ShardOf(name, key, k.Shards())
	response := struct {
		Service  string `json:"service"`
		Key      string `json:"key"`
		Shard    uint32 `json:"shard"`
		Override bool   `json:"placed_alone"`
		Epoch    uint64 `json:"epoch"`
		Owner    string `json:"owner"`
		Address  string `json:"address"`
		State    string `json:"state"`
		Why      string `json:"why"`
	}{Service: name, Key: key, Shard: uint32(sh), Override: sh >= table.FirstOverride}
	o := t.Ownership(name, sh)
	response.Epoch = uint64(o.Epoch())
	switch o := o.(type) {
	case table.Vacant:
		response.State, response.Why = "vacant", "no member owns the shard; it is granted as soon as one can"
	case table.Owned:
		m, _ := t.Member(o.Owner())
		response.State, response.Owner, response.Address = "owned", m.Instance(), m.Address()
		response.Why = "the shard of the key was granted to this member"
	case table.Moving:
		m, _ := t.Member(o.From())
		to, _ := t.Member(o.To())
		response.State, response.Owner, response.Address = "moving", m.Instance(), m.Address()
		response.Why = "the owner finishes what is in flight, then hands over to " + to.Instance()
	}
	return c.JSON(response)
}

// sendError responds with a status code and an error message.
func sendError(c fiber.Ctx, code int, text string) error {
	return c.Status(code).JSON(struct {
		Error string `json:"error"`
	}{Error: text})
}

// rules responds with the configuration that this daemon knows to be in force, as canonical JSON.
func (a *Admin) rules(c fiber.Ctx) error {
	r := a.snapshots.Load().Table().Rules()
	if r.Version() == 0 {
		return sendError(c, fiber.StatusServiceUnavailable, "no configuration is known yet")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(r.Content())
}

// auditTrail responds with the audit trail, oldest record first.
func (a *Admin) auditTrail(c fiber.Ctx) error {
	records, err := a.audit()
	if err != nil {
		return sendError(c, fiber.StatusServiceUnavailable, err.Error())
	}
	type row struct {
		Index   uint64 `json:"index"`
		UnixMs  int64  `json:"unix_ms"`
		Author  string `json:"author"`
		Subject string `json:"subject"`
		From    string `json:"from"`
		To      string `json:"to"`
		Outcome string `json:"outcome"`
	}
	rows := []row{}
	for _, r := range records {
		rows = append(rows, row{
			Index: r.Index(), UnixMs: int64(r.Timestamp()), Author: r.Author(), Subject: r.Subject(),
			From: r.From(), To: r.To(), Outcome: r.Outcome(),
		})
	}
	return c.JSON(rows)
}
