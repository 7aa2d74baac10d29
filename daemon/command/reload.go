package command

import (
	"context"
	"os/signal"
	"syscall"
)

// onReload calls act at each SIGHUP. Act must not block.
func onReload(act func()) {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGHUP)
	context.AfterFunc(ctx, func() {
		// The next signal is awaited before this one is released, so that none
		// has its default effect in between.
		onReload(act)
		release()
		act()
	})
}
