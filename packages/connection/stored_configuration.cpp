#include "connection/stored_configuration.h"
