#include "version/daemon_settings.h"
