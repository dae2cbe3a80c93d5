package site

import (
	"net"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
)

// ServeFaults opens an HTTP address on which faults are staged and lifted, in JSON:
//
//	GET    /faults        the staged faults
//	POST   /faults        stage one: {"kind":"state_slow","value":0.5,"for_s":10}
//	DELETE /faults/{id}   lift one
//	DELETE /faults        lift all
//	GET    /kinds         the kinds of faults
func (s *Site) ServeFaults() (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	e := echo.New()
	e.HideBanner = true
	e.GET("/kinds", func(c echo.Context) error { return c.JSON(http.StatusOK, Kinds) })
	e.GET("/faults", func(c echo.Context) error {
		list := s.Faults()
		if list == nil {
			list = []Active{}
		}
		return c.JSON(http.StatusOK, list)
	})
	e.POST("/faults", func(c echo.Context) error {
		var f Fault
		if err := c.Bind(&f); err != nil {
			return c.JSON(http.StatusBadRequest, map[string]string{"error": "not a fault in JSON"})
		}
		a, err := s.Stage(f)
		if err != nil {
			return c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
		}
		return c.JSON(http.StatusCreated, a)
	})
	e.DELETE("/faults", func(c echo.Context) error {
		s.LiftAll()
		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/faults/:id", func(c echo.Context) error {
		id, err := strconv.ParseUint(c.Param("id"), 10, 64)
		if err != nil || !s.Lift(id) {
			return c.JSON(http.StatusNotFound, map[string]string{"error": "no such fault"})
		}
		return c.NoContent(http.StatusNoContent)
	})
	srv := s.serve(ln, e)
	return ln.Addr().String(), func() { _ = srv.Close() }, nil
}
