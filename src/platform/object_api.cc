#include "wisteriaflow/platform/object_api.h"
