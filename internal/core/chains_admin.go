package core

func (c *Core) onAdminChain(v AdminChain) {
	c.answer(v.Req, 503, unavailable("not built yet"))
}
