package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/conf"
)

func TestRoomComesFromSettings(t *testing.T) {
	c := qt.New(t)
	s := &conf.Settings{MemoryMegabytes: 184, Files: 4100}
	c.Check(memoryOf(s), qt.Equals, int64(184<<20))
	c.Check(filesOf(s), qt.Equals, int64(4100))
	// Without settings the machine and the process tell.
	c.Check(memoryOf(&conf.Settings{}) > 64<<20, qt.IsTrue)
	c.Check(filesOf(&conf.Settings{}) >= 64, qt.IsTrue)
}
