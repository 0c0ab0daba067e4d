package syscallfault

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// noVDSOSource is a preload library that hides the vDSO from the program, so that reading a clock is a system call.
const noVDSOSource = `
#include <elf.h>
__attribute__((constructor)) static void hide_vdso(int argc, char **argv, char **envp) {
	while (*envp) envp++;
	for (Elf64_auxv_t *entry = (Elf64_auxv_t *)(envp + 1); entry->a_type != AT_NULL; entry++)
		if (entry->a_type == AT_SYSINFO_EHDR) entry->a_type = AT_IGNORE;
}
`

// UseSystemCallClock makes a command read its clocks by system calls. It must be linked against the C library. The preload
// library that does so is built in dir and needs a C compiler.
func UseSystemCallClock(cmd *exec.Cmd, dir string) error {
	source, library := filepath.Join(dir, "novdso.c"), filepath.Join(dir, "novdso.so")
	if err := os.WriteFile(source, []byte(noVDSOSource), 0o600); err != nil {
		return err
	}
	if out, err := exec.Command("cc", "-shared", "-fPIC", "-o", library, source).CombinedOutput(); err != nil {
		return fmt.Errorf("preload library: %w: %s", err, out)
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "LD_PRELOAD="+library)
	return nil
}

// AnswerClock answers a clock_gettime with the wall clock's time plus an offset.
func (c Call) AnswerClock(offset time.Duration) Decision {
	now := unix.NsecToTimespec(time.Now().Add(offset).UnixNano())
	size := int(unsafe.Sizeof(now))
	local := []unix.Iovec{{Base: (*byte)(unsafe.Pointer(&now)), Len: uint64(size)}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[1]), Len: size}}
	if _, err := unix.ProcessVMWritev(c.pid, local, remote, 0); err != nil {
		return Decision{Errno: unix.EFAULT}
	}
	return Decision{result: new(int64)}
}
