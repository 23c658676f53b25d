#include "process/archive.h"
