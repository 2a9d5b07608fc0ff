# Finds the dependencies, and defines functions that apply the common compiler warnings,
# include directories, precompiled headers and export set to targets.
find_package(Boost 1.81 REQUIRED)
find_package(spdlog REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(jsoncpp REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(zstd REQUIRED IMPORTED_TARGET libzstd)

# GCC 12 reports a false -Wmismatched-new-delete for the frame allocator of Boost.Asio's
# coroutines.
set(STAGEPOST_WARNINGS -Wall -Wextra $<$<BOOL:${STAGEPOST_DEVELOPER}>:-Werror> -Wno-missing-field-initializers -Wno-mismatched-new-delete)

# Boost.Asio and Beast add about ten seconds of compile time per file, so targets that use
# them precompile their headers. No public header includes them.
set(STAGEPOST_ASIO_PRECOMPILED
    <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp>)

function(stagepost_compile_options target)
    target_compile_options(${target} PRIVATE ${STAGEPOST_WARNINGS})
endfunction()

# Defines a static library with its alias, export and install rules:
#   stagepost_library(Routing [ASIO] SOURCES a.cpp DEPENDS Base PRIVATE_DEPENDS x)
function(stagepost_library name)
    cmake_parse_arguments(ARG "ASIO" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    set(target Stagepost${name})
    add_library(${target} STATIC ${ARG_SOURCES})
    add_library(Stagepost::${name} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(${target} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/Libraries>
        $<INSTALL_INTERFACE:include/stagepost>)
    target_compile_features(${target} PUBLIC cxx_std_20)
    foreach(dependency ${ARG_DEPENDS})
        target_link_libraries(${target} PUBLIC Stagepost${dependency})
    endforeach()
    target_link_libraries(${target} PRIVATE ${ARG_PRIVATE_DEPENDS})
    stagepost_compile_options(${target})
    if(ARG_ASIO)
        target_precompile_headers(${target} PRIVATE ${STAGEPOST_ASIO_PRECOMPILED})
    endif()
    set_property(GLOBAL APPEND PROPERTY STAGEPOST_LIBRARIES ${target})
    set_property(GLOBAL APPEND PROPERTY STAGEPOST_COMPONENTS ${name})
    install(TARGETS ${target} EXPORT StagepostTargets ARCHIVE DESTINATION lib/stagepost)
    install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/ DESTINATION include/stagepost/Lib${name}
        FILES_MATCHING PATTERN "*.h" PATTERN "Detail" EXCLUDE)
endfunction()

function(stagepost_install_packages)
    include(CMakePackageConfigHelpers)
    get_property(STAGEPOST_COMPONENTS GLOBAL PROPERTY STAGEPOST_COMPONENTS)
    configure_package_config_file(${PROJECT_SOURCE_DIR}/Meta/CMake/StagepostConfig.cmake.in
        ${PROJECT_BINARY_DIR}/StagepostConfig.cmake INSTALL_DESTINATION lib/cmake/Stagepost)
    write_basic_package_version_file(${PROJECT_BINARY_DIR}/StagepostConfigVersion.cmake
        COMPATIBILITY SameMinorVersion)
    install(EXPORT StagepostTargets NAMESPACE Stagepost:: DESTINATION lib/cmake/Stagepost)
    install(FILES ${PROJECT_BINARY_DIR}/StagepostConfig.cmake
        ${PROJECT_BINARY_DIR}/StagepostConfigVersion.cmake DESTINATION lib/cmake/Stagepost)
endfunction()
