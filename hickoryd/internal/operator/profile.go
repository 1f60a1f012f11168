package operator

import (
	"net/http/pprof"

	"github.com/gin-gonic/gin"
)

// servePprof serves a profile of the running daemon by name. "profile" is a CPU
// profile over ?seconds=N; the other names are those of runtime/pprof.
func (h *Handler) servePprof(c *gin.Context) {
	if name := c.Param("name"); name != "profile" {
		pprof.Handler(name).ServeHTTP(c.Writer, c.Request)
		return
	}
	pprof.Profile(c.Writer, c.Request)
}
